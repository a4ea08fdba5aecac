// Tests the harness: tests that run in parallel must not share addresses.

#include "support/Cluster.h"

#include <csignal>
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

// The soaks sent SIGHUP to the id 0 of a process that had just ended, which ended the tests and the script that ran them.
static volatile std::sig_atomic_t receivedSignals = 0;

TEST(ClusterSignals, AreNotSentToAProcessThatHasEnded)
{
    Cluster cluster;
    cluster.startProgram("kv", "standin-kvstore", { "--listen", QString::fromStdString(cluster.addressOf("kv")) }, cluster.urlOf("kv") + "/effects");
    cluster.kill("kv");
    // A process without a handler ignores SIGURG.
    std::signal(SIGURG, [](int) { receivedSignals = 1; });
    cluster.signal("kv", SIGURG);
    std::signal(SIGURG, SIG_DFL);
    EXPECT_EQ(receivedSignals, 0);
}

} // namespace hemlockweir
