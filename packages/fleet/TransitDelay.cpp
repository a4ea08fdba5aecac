#include "fleet/TransitDelay.h"

#include <algorithm>

namespace hemlockweir {

// How fast two machines' clocks may drift apart; the reference rises by as much.
static constexpr double driftPerMs = 0.0002;
// The longest gap between two messages that the reference is raised for. Without it, a receiver's
// long pause would pass for drift.
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
