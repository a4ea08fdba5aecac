#pragma once

#include <cstdint>

// The planner's term: a number that is unique to one holder of the planner's key and rises from holder to holder, also when the
// store that holds the key is restored from a copy and gives revisions out again. Engines refuse the epochs of lower terms, and
// their epochs don't go back with the store.

namespace hemlockweir {

// Low bits of an epoch, which count groups within a term. No term forms a million groups, so they do not overflow.
inline constexpr int epochCountBits = 20;

// Engines and their entries hold epochs as JSON numbers, which are read up to this value.
inline constexpr uint64_t maxEpoch = 9000000000000000;

// Largest term of which all epochs can be read.
inline constexpr uint64_t maxTerm = (maxEpoch >> epochCountBits) - 1;

// What a restore adds to a term. A copy must not be older than this number of writes, 14 minutes at 1,200 writes a second.
inline constexpr uint64_t termsPerEra = 1ULL << 20;

// Eras after which the term starts anew. Leaves room for four billion revisions below maxTerm.
inline constexpr uint64_t erasBeforeWrap = 4096;

// Returns the term of the planner whose key has this revision in this era, at most maxTerm. In era 0 it is the revision.
// `highest` is the highest term that this node knows of earlier planners; the result is above it in any other era, also when
// the eras start anew or the copy is too old.
uint64_t plannerTerm(uint64_t era, uint64_t revision, uint64_t highest = 0);

} // namespace hemlockweir
