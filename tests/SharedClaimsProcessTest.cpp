// Checks that orders run at most once when the nodes of a failure domain share platform calls for
// their claims and the aggregator, which writes for the others, fails. The endpoint's effect log is
// the reference.

#include "support/Cluster.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <set>

namespace hemlockweir {

class SharedClaims : public testing::Test {
protected:
    static constexpr int nodes = 3;
    static constexpr char sharing[] = "[limits]\nclaim_sharing_nodes = 2\n";

    void SetUp() override
    {
        cluster.startStore();
        cluster.startService("o1", "a", "orders");
        std::vector<std::string> links;
        for (const std::string& node : names()) {
            const std::string addresses = absl::StrCat(cluster.addressOf(node + ".in"), ",", cluster.addressOf(node + ".peers"));
            links.push_back(absl::StrCat(node, "-tcp,", addresses));
            links.push_back(absl::StrCat(node, "-udp,", addresses, ",udp"));
        }
        cluster.startProxy(links);
        for (const std::string& node : names())
            cluster.startNode({ .name = node, .domain = "a", .seeds = { "n1", "n2", "n3" }, .advertised = node + ".in", .settings = sharing });
        ASSERT_EQ(cluster.publish(makeServiceFile(2)), 0);
        for (const std::string& node : names())
            ASSERT_TRUE(waitUntil([&] {
                const Answer answer = cluster.call("GET", cluster.urlOf(node) + "/orders", {}, { { "Authorization", "Bearer caller-key" } });
                return answer.status == 200 && countLivePeers(node) == nodes - 1;
            }));
        aggregator = findAggregator();
        ASSERT_FALSE(aggregator.empty());
        other = aggregator == "n1" ? "n2" : "n1";
    }

    static std::vector<std::string> names() { return { "n1", "n2", "n3" }; }

    int countLivePeers(const std::string& node)
    {
        int alive = 0;
        for (const QJsonValue& peer : cluster.status(node)["peers"].toArray())
            alive += peer.toObject()["alive"].toBool() ? 1 : 0;
        return alive;
    }

    double metric(const std::string& node, const QByteArray& name)
    {
        for (const QByteArray& line : cluster.call("GET", cluster.urlOf(node) + "/metrics").body.split('\n')) {
            if (line.startsWith(name + ' '))
                return line.mid(name.size()).trimmed().toDouble();
        }
        return 0;
    }

    // Sends an order through each node. The node that wrote for the others is the aggregator.
    std::string findAggregator()
    {
        for (const std::string& node : names())
            EXPECT_EQ(order(node, "warm-up " + QByteArray::fromStdString(node)).status, 200);
        std::string found;
        EXPECT_TRUE(waitUntil([&] {
            for (const std::string& node : names()) {
                if (metric(node, "hemlockweir_claim_writes_for_peers_total") > 0)
                    found = node;
            }
            return !found.empty();
        }));
        return found;
    }

    PendingAnswer startOrder(const std::string& node, const QByteArray& key)
    {
        return cluster.start("POST", cluster.urlOf(node) + "/orders", "{}", { { "Authorization", "Bearer caller-key" }, { "X-Deadline-Ms", "20000" }, { "Idempotency-Key", key } });
    }

    Answer order(const std::string& node, const QByteArray& key) { return startOrder(node, key).wait(); }

    size_t orders(const QByteArray& key)
    {
        size_t count = 0;
        for (const QJsonObject& effect : cluster.effects("o1", "order"))
            count += effect["key"].toString().toLatin1() == key ? 1 : 0;
        return count;
    }

    // Checks that the order runs once, whichever node receives it again.
    void expectRunsOnce(const QByteArray& key, const std::vector<std::string>& through)
    {
        for (const std::string& node : through)
            EXPECT_TRUE(waitUntil([&] { return order(node, key).status == 200; })) << node;
        EXPECT_EQ(orders(key), 1U);
    }

    Cluster cluster;
    std::string aggregator;
    std::string other;
};

TEST_F(SharedClaims, OneNodeWritesForAll)
{
    const double before = metric(aggregator, "hemlockweir_claim_writes_for_peers_total");
    expectRunsOnce("k", names());
    EXPECT_TRUE(waitUntil([&] { return metric(aggregator, "hemlockweir_claim_writes_for_peers_total") > before; }));
    for (const std::string& node : names())
        EXPECT_EQ(metric(node, "hemlockweir_claim_writes_for_peers_total") > 0, node == aggregator) << node;
}

TEST_F(SharedClaims, WhenAllNodesRace)
{
    cluster.setFaults("o1", { { "delay_ms", 300 } });
    std::vector<PendingAnswer> pending;
    for (const std::string& node : names())
        pending.push_back(startOrder(node, "k"));
    std::multiset<int> statuses;
    for (const PendingAnswer& answer : pending)
        statuses.insert(answer.wait().status);
    EXPECT_EQ(statuses, (std::multiset<int> { 200, 409, 409 }));
    EXPECT_EQ(orders("k"), 1U);
}

TEST_F(SharedClaims, WhenTheAggregatorIsKilled)
{
    cluster.kill(aggregator);
    EXPECT_EQ(order(other, "k").status, 200) << "it writes directly, without delay";
    std::vector<std::string> alive = names();
    std::erase(alive, aggregator);
    expectRunsOnce("k", alive);
}

TEST_F(SharedClaims, WhenTheAggregatorIsPausedAndContinues)
{
    cluster.pause(aggregator);
    EXPECT_EQ(order(other, "k").status, 200);
    cluster.resume(aggregator);
    // Writes of the paused batch that the aggregator performs now must have no effect.
    expectRunsOnce("k", names());
}

TEST_F(SharedClaims, WhenTheAggregatorsAnswersAreLost)
{
    cluster.setFaults("proxy", { { QString::fromStdString(aggregator) + "-tcp.drop_answers", true } });
    EXPECT_EQ(order(other, "k").status, 200) << "the ledger recognizes the claim that the aggregator wrote";
    cluster.setFaults("proxy", { { QString::fromStdString(aggregator) + "-tcp.drop_answers", false } });
    expectRunsOnce("k", names());
}

TEST_F(SharedClaims, WhenThePlatformsAnswersToTheAggregatorAreLost)
{
    cluster.setFaults("store", { { "lose_answers", 1 } });
    expectRunsOnce("k", { other, aggregator });
}

TEST_F(SharedClaims, NotRunWhileThePlatformIsDown)
{
    cluster.setFaults("store", { { "down", true } });
    EXPECT_EQ(order(other, "k").outcome(), "not_run");
    EXPECT_EQ(orders("k"), 0U);
    cluster.setFaults("store", { { "down", false } });
    expectRunsOnce("k", { other, aggregator });
}

} // namespace hemlockweir
