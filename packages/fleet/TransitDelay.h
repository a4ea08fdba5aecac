#pragma once

#include "base/Clock.h"

#include <optional>

// How long a message was on its way, without synchronized clocks: the sender stamps its own
// monotonic clock, and the receiver holds each message against the fastest one it has seen.
// A message that waited in a paused receiver or a slow network is recognised as old by this.

namespace hemlockweir {

class TransitDelay {
public:
    // Returns how much longer than the fastest message this one took. Unset for the first message
    // of a sender, which has nothing to be held against.
    std::optional<Millis> measure(Millis sentAt, Millis receivedAt);

private:
    std::optional<double> minTransit_; // ms, receivedAt - sentAt; the clocks' offset is part of it
    Millis lastReceivedAt_ { 0 };
};

} // namespace hemlockweir
