#pragma once

#include "proxy/ProxyConfiguration.h"

// When the steps of one request happened, and whether its caller got it on time.

namespace hemlockweir {

struct RequestTimes {
    Millis startedAt { 0 }; // its last byte was read
    Millis waitingSince { 0 }; // for a place; 0: it does not wait
    Millis waited { 0 }; // ms, for all its places
    Millis firstByteAt { 0 }; // to the caller; 0: none yet
    Millis lastEventAt { 0 }; // to the caller; 0: none yet
    Millis longestGap { 0 }; // ms, between two events

    void startWaiting(Millis now);
    void stopWaiting(Millis now);

    // Notes an event of a stream on its way to the caller.
    void noteEvent(Millis now);

    // Until the first byte; until now without one.
    Millis firstByte(Millis now) const;

    // Whether the answer began after its objective, or paused for longer than its route allows.
    bool isLate(const Route& route) const;
};

// Without a byte for so long, an endpoint is taken for lost; `hasBegun`: its answer has begun.
Millis inactivityTimeout(const Route& route, bool hasBegun);

} // namespace hemlockweir
