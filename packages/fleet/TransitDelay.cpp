#include "fleet/TransitDelay.h"

#include <algorithm>

namespace hemlockweir {

// The maximum drift between two machines' clocks. The reference increases at this rate.
static constexpr double driftPerMs = 0.0002;
// The longest gap between two messages for which the reference is increased. Without this limit, a
// long pause of the receiver would be treated as drift.
static constexpr double maxDriftGapMs = 1000;

std::optional<Millis> TransitDelay::measure(Millis sentAt, Millis receivedAt)
{
    const auto transit = static_cast<double>((receivedAt - sentAt).count());
    const auto gap = static_cast<double>((receivedAt - lastReceivedAt_).count());
    lastReceivedAt_ = receivedAt;
    if (!minTransit_) {
        minTransit_ = transit;
        return std::nullopt;
    }
    minTransit_ = std::min(transit, *minTransit_ + std::clamp(gap, 0.0, maxDriftGapMs) * driftPerMs);
    return Millis(static_cast<int64_t>(transit - *minTransit_));
}

} // namespace hemlockweir
