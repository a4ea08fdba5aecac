// Nodes of a failure domain that share their polls of instances, with real processes. When a group
// loses a member, no node may serve the group, including nodes that do not poll the member. When
// observers fail, the group must stay served. The leaders do not check their members here, so that
// only the nodes detect a missing one.

#include "support/Cluster.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace hemlockweir {

class SharedPolls : public testing::Test {
protected:
    void SetUp() override
    {
        cluster.startStore();
        cluster.startEngines({ .count = 2, .arguments = { "--checks-members", "0" } });
        for (const std::string& node : nodes)
            cluster.startNode({ .name = node, .seeds = { "n1", "n2" } });
        ASSERT_EQ(cluster.publish(makeServiceFile(2)), 0);
        ASSERT_TRUE(waitForWhole(nodes, true));
        // Two nodes poll each instance; the others receive its status from them.
        ASSERT_TRUE(waitUntil([this] { return observersOf("a1-2").size() == 2; }));
    }

    std::vector<std::string> observersOf(const std::string& instance)
    {
        std::vector<std::string> observers;
        for (const std::string& node : nodes) {
            if (cluster.status(node)["observed"].toArray().contains(QString::fromStdString(instance)))
                observers.push_back(node);
        }
        return observers;
    }

    bool waitForWhole(const std::vector<std::string>& subset, bool isWhole)
    {
        return waitUntil([&] {
            return std::all_of(subset.begin(), subset.end(), [&](const std::string& node) { return cluster.wholeGroups(node).empty() != isWhole; });
        });
    }

    // Sends requests through each node and expects that none starts on an engine.
    void expectNoStart(const std::vector<std::string>& subset)
    {
        const std::string leader = "a1-1";
        const size_t before = cluster.effects(leader, "run_started").size();
        for (const std::string& node : subset)
            (void)cluster.requestCompletion(node, { .maxTokens = 1, .headers = { { "X-Deadline-Ms", "200" } } });
        EXPECT_EQ(cluster.effects(leader, "run_started").size(), before);
    }

    std::vector<std::string> without(const std::vector<std::string>& excluded) const
    {
        std::vector<std::string> remaining;
        std::copy_if(nodes.begin(), nodes.end(), std::back_inserter(remaining), [&](const std::string& node) { return std::find(excluded.begin(), excluded.end(), node) == excluded.end(); });
        return remaining;
    }

    Cluster cluster;
    std::vector<std::string> nodes { "n1", "n2", "n3", "n4", "n5" };
};

TEST_F(SharedPolls, AKilledMemberMakesItsGroupUnservedAtEveryNode)
{
    cluster.kill("a1-2");
    EXPECT_TRUE(waitForWhole(nodes, false));
    expectNoStart(nodes);
}

TEST_F(SharedPolls, APausedMemberMakesItsGroupUnservedAtEveryNode)
{
    cluster.pause("a1-2");
    EXPECT_TRUE(waitForWhole(nodes, false));
    expectNoStart(nodes);
    cluster.resume("a1-2");
    EXPECT_TRUE(waitForWhole(nodes, true));
}

TEST_F(SharedPolls, OthersTakeOverFromKilledObservers)
{
    const std::vector<std::string> observers = observersOf("a1-2");
    for (const std::string& node : observers)
        cluster.kill(node);
    nodes = without(observers);
    EXPECT_TRUE(waitUntil([&] { return !observersOf("a1-2").empty(); }));
    EXPECT_TRUE(waitForWhole(nodes, true));
    cluster.kill("a1-2");
    EXPECT_TRUE(waitForWhole(nodes, false));
    expectNoStart(nodes);
}

TEST_F(SharedPolls, PausedObserversDoNotHideAKilledMember)
{
    const std::vector<std::string> observers = observersOf("a1-2");
    for (const std::string& node : observers)
        cluster.pause(node);
    cluster.kill("a1-2");
    nodes = without(observers);
    EXPECT_TRUE(waitForWhole(nodes, false));
    expectNoStart(nodes);
    for (const std::string& node : observers)
        cluster.resume(node);
    EXPECT_TRUE(waitForWhole(observers, false));
    expectNoStart(observers);
}

} // namespace hemlockweir
