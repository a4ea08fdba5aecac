// Failure domains that are cut off from the platform and from each other, and a domain that has
// lost its last node.

#include "support/Cluster.h"

#include <gtest/gtest.h>

namespace hemlockweir {

class Domains : public testing::Test {
protected:
    static constexpr char timing[] = "[timing]\nlease_ttl_ms = 1000\n";

    std::vector<QJsonObject> wholeIn(const std::string& node, const char* domain)
    {
        std::vector<QJsonObject> groups = cluster.wholeGroups(node);
        std::erase_if(groups, [&](const QJsonObject& group) { return group["domain"].toString() != domain; });
        return groups;
    }

    bool waitForWholeIn(const std::string& node, const char* domain, size_t count)
    {
        return waitUntil([&] { return wholeIn(node, domain).size() == count; });
    }

    size_t countOrders()
    {
        size_t orders = 0;
        for (const Instance& instance : cluster.instances())
            orders += cluster.effects(instance.id, "order").size();
        return orders;
    }

    static std::string memberOf(const QJsonObject& group, int index) { return group["members"].toArray().at(index).toString().toStdString(); }

    Cluster cluster;
};

TEST_F(Domains, ServesThroughALongOutageOfThePlatformAndRepairsAfterIt)
{
    cluster.startStore();
    cluster.startEngines({ .count = 5, .domain = "a", .fabric = "a1" });
    cluster.startNode({ .name = "n1", .domain = "a", .settings = timing });
    ASSERT_EQ(cluster.publish(makeServiceFile(2)), 0);
    ASSERT_TRUE(waitForWholeIn("n1", "a", 2));
    cluster.setFaults("store", { { "down", true } });
    ASSERT_TRUE(waitUntil([&] { return cluster.logOf("n1").contains("planner_lease_untrusted"); }));
    const QJsonObject lost = wholeIn("n1", "a").front();
    const size_t orders = countOrders();
    cluster.kill(memberOf(lost, 1));
    ASSERT_TRUE(waitForWholeIn("n1", "a", 1));
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(cluster.requestCompletion("n1", { .maxTokens = 1 }).status, 200);
    EXPECT_EQ(cluster.effects(memberOf(lost, 0), "run_started").size(), 0U);
    cluster.restart(memberOf(lost, 1));
    EXPECT_EQ(countOrders(), orders) << "no node may form a group without the lease";
    cluster.setFaults("store", { { "down", false } });
    EXPECT_TRUE(waitForWholeIn("n1", "a", 2));
}

TEST_F(Domains, PlansADomainThatLostItsLastNode)
{
    cluster.startStore();
    cluster.startEngines({ .count = 2, .domain = "a", .fabric = "a1" });
    cluster.startEngines({ .count = 3, .domain = "b", .fabric = "b1" });
    cluster.startNode({ .name = "n1", .domain = "a", .settings = timing });
    cluster.startNode({ .name = "n2", .domain = "b", .seeds = { "n1" }, .settings = timing });
    ASSERT_EQ(cluster.publish(makeServiceFile(2)), 0);
    ASSERT_TRUE(waitForWholeIn("n1", "b", 1));
    const QJsonObject before = wholeIn("n1", "b").front();
    EXPECT_EQ(before["observer"].toString(), "n2") << "a node receives another domain's groups from that domain's nodes";
    cluster.kill("n2");
    cluster.kill(memberOf(before, 1));
    ASSERT_TRUE(waitUntil([&] {
        const std::vector<QJsonObject> groups = wholeIn("n1", "b");
        return groups.size() == 1 && groups.front()["epoch"].toDouble() > before["epoch"].toDouble() && groups.front()["observer"].toString().isEmpty();
    }));
}

// Domain a is cut off from the platform and, in both directions, from domain b. The engines do not
// check their members here: on a busy machine, the short timeout of that check breaks groups by
// itself.
TEST_F(Domains, KeepsItsGroupsWhileCutOffAndHealsWithoutRegrouping)
{
    cluster.startStore();
    cluster.startEngines({ .count = 5, .domain = "a", .fabric = "a1", .arguments = { "--checks-members", "0" } });
    cluster.startEngines({ .count = 4, .domain = "b", .fabric = "b1", .arguments = { "--checks-members", "0" } });
    cluster.startProxy({ "n1.in," + cluster.addressOf("in1.peers") + "," + cluster.addressOf("n1.peers") + ",udp",
        "n2.in," + cluster.addressOf("in2.peers") + "," + cluster.addressOf("n2.peers") + ",udp",
        "store-a," + cluster.addressOf("store-a") + "," + cluster.addressOf("store") });
    cluster.startNode({ .name = "n1", .domain = "a", .advertised = "in1.peers", .platform = "store-a", .settings = timing });
    cluster.startNode({ .name = "n2", .domain = "b", .seeds = { "in1" }, .advertised = "in2.peers", .settings = timing });
    ASSERT_EQ(cluster.publish(makeServiceFile(2)), 0);
    for (const char* node : { "n1", "n2" }) {
        ASSERT_TRUE(waitForWholeIn(node, "a", 2));
        ASSERT_TRUE(waitForWholeIn(node, "b", 2));
    }
    const size_t orders = countOrders();
    const QString n1 = QString::fromStdString(cluster.addressOf("n1.peers"));
    const QString n2 = QString::fromStdString(cluster.addressOf("n2.peers"));
    cluster.setFaults("proxy", { { "n1.in.cut_from", n2 }, { "n2.in.cut_from", n1 }, { "store-a.cut", true } });
    ASSERT_TRUE(waitUntil([&] { return cluster.logOf("n1").contains("planner_lease_untrusted") && cluster.logOf("n1").contains("peer_silent"); }));
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(cluster.requestCompletion("n1", { .maxTokens = 1 }).status, 200);
        EXPECT_EQ(cluster.requestCompletion("n2", { .maxTokens = 1 }).status, 200);
    }
    EXPECT_EQ(wholeIn("n1", "a").size(), 2U);
    cluster.setFaults("proxy", { { "n1.in.cut_from", "" }, { "n2.in.cut_from", "" }, { "store-a.cut", false } });
    ASSERT_TRUE(waitUntil([&] { return cluster.logOf("n1").count("planner_lease_taken") == 2 || cluster.logOf("n1").count("planner_lease_recognised") == 1; }));
    for (const char* node : { "n1", "n2" }) {
        ASSERT_TRUE(waitForWholeIn(node, "a", 2));
        ASSERT_TRUE(waitForWholeIn(node, "b", 2));
    }
    EXPECT_EQ(countOrders(), orders) << "no group was dissolved or formed";
    const QJsonObject lost = wholeIn("n1", "a").front();
    cluster.kill(memberOf(lost, 1));
    EXPECT_TRUE(waitUntil([&] { return wholeIn("n1", "a").size() == 2 && wholeIn("n2", "a").size() == 2 && wholeIn("n2", "a").back()["epoch"].toDouble() > lost["epoch"].toDouble(); }));
}

} // namespace hemlockweir
