#pragma once

#include "schedule/Pool.h"

// How the slots of one model are shared between priorities. Pure.

namespace hemlockweir {

// Whether a job of this priority may take a slot now.
bool mayAcquireSlot(const Pool& pool, uint32_t rank, Millis now);

// Whether a priority runs less than the share of the slots that is kept for it.
bool isBelowFloor(const Pool& pool, uint32_t rank);

// Share of the slots kept for priorities less urgent than this one, as far as they have work.
double reservedForLessUrgent(const Pool& pool, uint32_t rank);

// Slots of this node that nothing runs on, by cause. The sum is what is idle.
struct IdleSlots {
    double notAsked = 0; // nothing waits for them
    double keptForUrgent = 0; // work waits, and they are kept free for the most urgent
    double notFound = 0; // work waits, and no replica had a slot to give

    auto operator<=>(const IdleSlots&) const = default;
};

IdleSlots findIdleSlots(const Pool& pool, Millis now);

} // namespace hemlockweir
