#include "proxy/RequestTimes.h"

#include <algorithm>

namespace hemlockweir {

// Bounds on the time without a byte after which an endpoint is treated as unresponsive.
static constexpr Millis minInactivity { 500 };
static constexpr Millis maxInactivity { 2500 };
// Inactivity timeout before the first byte, in objectives: a long prompt may be queued behind others.
static constexpr int inactivityObjectives = 3;
// Inactivity timeout after the first byte, in gap targets.
static constexpr int inactivityGaps = 3;

void RequestTimes::startWaiting(Millis now)
{
    waitingSince = now;
}

void RequestTimes::stopWaiting(Millis now)
{
    if (waitingSince.count() > 0)
        waited += now - waitingSince;
    waitingSince = Millis(0);
}

void RequestTimes::noteEvent(Millis now)
{
    if (lastEventAt.count() > 0)
        longestGap = std::max(longestGap, now - lastEventAt);
    lastEventAt = now;
}

Millis RequestTimes::firstByte(Millis now) const
{
    return (firstByteAt.count() > 0 ? firstByteAt : now) - startedAt;
}

bool RequestTimes::isLate(const Route& route) const
{
    const bool startedLate = route.objective.count() > 0 && firstByteAt - startedAt > route.objective;
    const bool pausedTooLong = route.gapTarget.count() > 0 && longestGap > route.gapTarget;
    return startedLate || pausedTooLong;
}

Millis inactivityTimeout(const Route& route, bool hasResponseStarted)
{
    const Millis expected = hasResponseStarted ? route.gapTarget * inactivityGaps : route.objective * inactivityObjectives;
    return std::clamp(expected, minInactivity, maxInactivity);
}

} // namespace hemlockweir
