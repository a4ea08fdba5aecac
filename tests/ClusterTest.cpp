// Tests the harness: tests that run in parallel must not share addresses.

#include "support/Cluster.h"

#include <gtest/gtest.h>
#include <set>
#include <unordered_set>

namespace hemlockweir {

TEST(ClusterAddresses, EveryProcessIdHasAUniqueAddress)
{
    constexpr unsigned count = 1U << 16; // adjacent ids, and ids over all 22 bits that Linux uses
    constexpr unsigned spread = 1U << 6;
    std::set<unsigned> ids;
    for (unsigned i = 0; i < count; ++i)
        ids.insert({ i, i * spread });
    std::unordered_set<std::string> seen;
    for (unsigned id : ids)
        ASSERT_TRUE(seen.insert(loopbackAddressOf(id)).second) << "process " << id << " shares " << loopbackAddressOf(id);
}

} // namespace hemlockweir
