#pragma once

#include "schedule/Pool.h"

// How the slots of one model are shared between priorities. Pure.

namespace hemlockweir {

// Whether a job of this priority may take a slot now.
bool mayTake(const Pool& pool, uint32_t rank, Millis now);

// Whether a priority runs less than the share of the slots that is kept for it.
bool isBelowFloor(const Pool& pool, uint32_t rank);

// Share of the slots kept for priorities less urgent than this one, as far as they have work.
double reservedBelow(const Pool& pool, uint32_t rank);

} // namespace hemlockweir
