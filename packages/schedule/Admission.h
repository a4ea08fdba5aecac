#pragma once

#include "schedule/Pool.h"

// Predicts from the recent performance of a pool which jobs can not be on time. Pure functions.

namespace hemlockweir {

// Returns the time in ms that a new job is expected to wait for a slot.
double expectedWaitMs(const Job& job, const Pool& pool, Millis now);

// Returns whether a new job is expected to have its first token when it is due.
bool canMeetTarget(const Job& job, const Pool& pool, Millis now);

// Returns whether a waiting job would get its first token too late even if it started now, while the queue of its
// priority is long. Retries and preempted jobs are never too late.
bool isTooLate(const Job& job, const Pool& pool, Millis now);

} // namespace hemlockweir
