#include "proxy/EndpointClock.h"

namespace hemlockweir {

bool StatementTime::isBefore(const StatementTime& other) const
{
    if (startedAtMs == 0 || other.startedAtMs == 0)
        return false;
    if (startedAtMs != other.startedAtMs)
        return startedAtMs < other.startedAtMs;
    return sequence && other.sequence && *sequence < *other.sequence;
}

bool EndpointClock::accept(const StatementTime& time)
{
    if (time.isBefore(newest_))
        return false;
    if (time.startedAtMs != 0 && (time.startedAtMs != newest_.startedAtMs || time.sequence))
        newest_ = time;
    return true;
}

} // namespace hemlockweir
