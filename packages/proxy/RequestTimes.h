#pragma once

#include "proxy/ProxyConfiguration.h"

// Timestamps of one request, and whether its response was on time.

namespace hemlockweir {

struct RequestTimes {
    Millis startedAt { 0 }; // when the first byte of the request was read
    Millis waitingSince { 0 }; // when the wait for a slot started; 0: not waiting
    Millis waited { 0 }; // ms, total wait for slots
    Millis firstByteAt { 0 }; // first byte sent to the caller; 0: none yet
    Millis lastEventAt { 0 }; // last event sent to the caller; 0: none yet
    Millis longestGap { 0 }; // ms, longest pause between two events

    void startWaiting(Millis now);
    void stopWaiting(Millis now);

    // Records that an event of a stream was sent to the caller.
    void noteEvent(Millis now);

    // Returns the time to the first byte, or to `now` if there is none yet.
    Millis firstByte(Millis now) const;

    // Returns whether the response started after its objective, or paused for longer than its route allows.
    bool isLate(const Route& route) const;
};

// Returns the time without a byte after which an endpoint is treated as unresponsive. `hasResponseStarted` states
// whether part of the response arrived.
Millis inactivityTimeout(const Route& route, bool hasResponseStarted);

} // namespace hemlockweir
