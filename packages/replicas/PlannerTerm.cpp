#include "replicas/PlannerTerm.h"

#include <algorithm>

namespace hemlockweir {

uint64_t plannerTerm(uint64_t era, uint64_t revision, uint64_t highest)
{
    uint64_t term = (era % erasBeforeWrap) * termsPerEra + revision;
    // Whole steps keep the terms of one era apart.
    if (era > 0 && term <= highest)
        term += ((highest - term) / termsPerEra + 1) * termsPerEra;
    return std::min(term, maxTerm);
}

} // namespace hemlockweir
