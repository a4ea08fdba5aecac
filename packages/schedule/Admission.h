#pragma once

#include "schedule/Pool.h"

// Which jobs can not be on time, by what the pool did lately. Pure.

namespace hemlockweir {

// ms that a new job is expected to wait for its slot.
double expectedWaitMs(const Job& job, const Pool& pool, Millis now);

// Whether a new job is expected to have its first token when it is due.
bool canMeetTarget(const Job& job, const Pool& pool, Millis now);

// Whether a waiting job would have its first token too late even if it ran now, while others wait
// behind it.
bool isTooLate(const Job& job, const Pool& pool, Millis now);

} // namespace hemlockweir
