// A request that crashes every endpoint that runs it is quarantined. Requests that were running on
// the same endpoints still finish.

#include "base/Rendezvous.h"
#include "quarantine/Quarantine.h"
#include "support/Cluster.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace hemlockweir {

class QuarantineProcess : public testing::Test {
protected:
    void SetUp() override
    {
        cluster.startStore();
        cluster.startEngines({ .count = 6, .domain = "a", .fabric = "a1", .arguments = { "--token-ms", "20" } });
        cluster.startNode({ .name = "n1", .domain = "a", .seeds = { "n2" } });
        cluster.startNode({ .name = "n2", .domain = "a", .seeds = { "n1" } });
        ASSERT_EQ(cluster.publish(makeServiceFile(1)), 0);
        for (const char* node : { "n1", "n2" })
            ASSERT_TRUE(cluster.waitForGroups(node, 6));
    }

    int deathsKnownTo(const std::string& node)
    {
        const QByteArray name = "\nhemlockweir_endpoint_deaths_on_requests ";
        const QByteArray metrics = cluster.call("GET", cluster.urlOf(node) + "/metrics").body;
        const qsizetype at = metrics.indexOf(name);
        return at < 0 ? 0 : static_cast<int>(metrics.mid(at + name.size(), 20).split('\n').at(0).toDouble());
    }

    size_t deadEngines()
    {
        size_t dead = 0;
        for (const Instance& instance : cluster.instances())
            dead += cluster.call("GET", cluster.urlOf(instance.id) + "/member").status == 200 ? 0 : 1;
        return dead;
    }

    Cluster cluster;
};

TEST_F(QuarantineProcess, StopsACrashingRequestAndFinishesItsNeighbours)
{
    std::vector<PendingAnswer> neighbours;
    neighbours.reserve(12);
    for (int i = 0; i < 12; ++i)
        neighbours.push_back(cluster.startCompletion(i % 2 == 0 ? "n1" : "n2", { .prompt = "innocent " + std::to_string(i), .maxTokens = 150, .stream = true, .headers = { { "X-Priority", "batch" } } }));
    ASSERT_TRUE(waitUntil([&] {
        return std::all_of(neighbours.begin(), neighbours.end(), [](const PendingAnswer& neighbour) { return neighbour.received->contains("\"text\""); });
    }));
    const Answer crashing = cluster.requestCompletion("n1", { .prompt = "CRASH-ENGINE", .headers = { { "X-Priority", "batch" } } });
    EXPECT_EQ(crashing.status, 422) << crashing.body.constData();
    EXPECT_EQ(crashing.outcome(), "unknown");
    EXPECT_EQ(deadEngines(), 2U);
    // The caller sends it again through the other node, which knows of the deaths only from its peer.
    ASSERT_TRUE(waitUntil([&] { return deathsKnownTo("n1") >= 2 && deathsKnownTo("n2") >= deathsKnownTo("n1"); }));
    const Answer again = cluster.requestCompletion("n2", { .prompt = "CRASH-ENGINE", .headers = { { "X-Priority", "batch" } } });
    EXPECT_EQ(again.status, 422);
    EXPECT_EQ(again.outcome(), "not_run");
    EXPECT_EQ(deadEngines(), 2U);
    for (const PendingAnswer& neighbour : neighbours) {
        const QByteArray body = neighbour.wait().body;
        EXPECT_EQ(body.count("\"finish_reason\":null"), 150);
        EXPECT_TRUE(body.endsWith("data: [DONE]\n\n")) << body.right(300).constData();
    }
    EXPECT_EQ(deadEngines(), 2U);
}

// Two groups, and streams on both through one node. One group is killed, and the node does not own
// the remaining one, so its suspects must reserve that group by announcements, one after the other.
class QuarantineTurns : public testing::Test {
protected:
    void SetUp() override
    {
        cluster.startStore();
        cluster.startEngines({ .count = 2, .domain = "a", .fabric = "a1", .arguments = { "--token-ms", "20" } });
        cluster.startNode({ .name = "n1", .domain = "a", .seeds = { "n2" } });
        cluster.startNode({ .name = "n2", .domain = "a", .seeds = { "n1" } });
        ASSERT_EQ(cluster.publish(makeServiceFile(1)), 0);
        for (const char* node : { "n1", "n2" })
            ASSERT_TRUE(cluster.waitForGroups(node, 2));
        const std::vector<QJsonObject> groups = cluster.wholeGroups("n1");
        victim = groups[0]["members"].toArray().at(0).toString().toStdString();
        const std::string owner = pickByRendezvous({ "n1", "n2" }, Quarantine::roleOf(groups[1]["group"].toString().toStdString()), 1).front();
        other = owner == "n1" ? "n2" : "n1";
    }

    Cluster cluster;
    std::string victim; // the instance that is killed
    std::string other; // the node that does not own the remaining group
};

TEST_F(QuarantineTurns, SuspectsOfANodeThatOwnsNoGroupRunInTurn)
{
    std::vector<PendingAnswer> streams;
    streams.reserve(6);
    for (int i = 0; i < 6; ++i)
        streams.push_back(cluster.startCompletion(other, { .prompt = "stream " + std::to_string(i), .maxTokens = 50, .stream = true, .headers = { { "X-Priority", "batch" } } }));
    ASSERT_TRUE(waitUntil([&] {
        return std::all_of(streams.begin(), streams.end(), [](const PendingAnswer& stream) { return stream.received->contains("\"text\""); });
    }));
    ASSERT_GE(cluster.effects(victim, "run_started").size(), 2U);
    cluster.kill(victim);
    for (const PendingAnswer& stream : streams) {
        const QByteArray body = stream.wait().body;
        EXPECT_EQ(body.count("\"finish_reason\":null"), 50);
        EXPECT_TRUE(body.endsWith("data: [DONE]\n\n")) << body.right(300).constData();
    }
}

} // namespace hemlockweir
