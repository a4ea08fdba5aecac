#pragma once

#include "schedule/Pool.h"

// Divides the slots of one model between priorities. Pure functions. A rank is a priority; 0 is the most urgent.

namespace hemlockweir {

// Returns whether a job of this priority may use another slot now.
bool mayAcquireSlot(const Pool& pool, uint32_t rank, Millis now);

// Returns whether a priority uses fewer slots than its floor, the fraction reserved for it.
bool isBelowFloor(const Pool& pool, uint32_t rank);

// Returns the fraction of the slots reserved for less urgent priorities that have waiting jobs.
double reservedForLessUrgent(const Pool& pool, uint32_t rank);

// Idle slots of this node, by cause. Their sum is the number of idle slots.
struct IdleSlots {
    double notAsked = 0; // no jobs are waiting
    double keptForUrgent = 0; // jobs wait, but the slots are reserved for the most urgent priority
    double notFound = 0; // jobs wait, but no replica had a free slot for them

    auto operator<=>(const IdleSlots&) const = default;
};

IdleSlots findIdleSlots(const Pool& pool, Millis now);

} // namespace hemlockweir
