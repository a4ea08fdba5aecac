#pragma once

#include "base/Clock.h"

#include <optional>

// Estimates how long a message was in transit, without synchronized clocks. The sender stamps each
// message with its own monotonic clock, and the receiver compares its transit time with that of the
// fastest message so far. This detects messages that waited in a paused receiver or a slow network.

namespace hemlockweir {

class TransitDelay {
public:
    // Returns how much longer this message took than the fastest one. Returns nullopt for the first
    // message of a sender, because there is nothing to compare it with.
    std::optional<Millis> measure(Millis sentAt, Millis receivedAt);

private:
    std::optional<double> minTransit_; // ms, minimum of receivedAt - sentAt; includes the offset between the clocks
    Millis lastReceivedAt_ { 0 };
};

} // namespace hemlockweir
