// Leaving instances get no new work, whichever source reports it first, and running requests are
// not aborted.

#include "support/Cluster.h"

#include <QJsonDocument>
#include <gtest/gtest.h>

namespace hemlockweir {

class Leaving : public testing::Test {
protected:
    void SetUp() override
    {
        cluster.startStore();
        cluster.startEngines({ .count = 4, .domain = "a", .fabric = "a1", .arguments = { "--token-ms", "20" } });
        cluster.startNode({ .name = "n1", .domain = "a", .seeds = { "n2" }, .settings = timing });
        cluster.startNode({ .name = "n2", .domain = "a", .seeds = { "n1" }, .settings = timing });
        std::string file = makeServiceFile(2);
        file.replace(file.find("members = 2"), 11, "members = 2\nreplicas = 1");
        ASSERT_EQ(cluster.publish(file), 0);
        for (const char* node : { "n1", "n2" })
            ASSERT_TRUE(cluster.waitForGroups(node, 1));
        group = cluster.wholeGroups("n1").front();
        leader = group["members"].toArray().at(0).toString().toStdString();
        member = group["members"].toArray().at(1).toString().toStdString();
        stream = cluster.startCompletion("n1", { .maxTokens = 400, .stream = true });
        ASSERT_TRUE(waitUntil([&] { return !stream.received->isEmpty(); }));
    }

    // Expects that the group no longer serves, that spare instances serve instead, and that the
    // stream that ran on the group completes.
    void expectReplaced()
    {
        for (const char* node : { "n1", "n2" })
            ASSERT_TRUE(waitUntil([&] { return isReplaced(node); }));
        const size_t before = cluster.effects(leader, "run_started").size();
        for (int i = 0; i < 10; ++i) {
            for (const char* node : { "n1", "n2" })
                EXPECT_EQ(cluster.requestCompletion(node, { .maxTokens = 1 }).status, 200);
        }
        EXPECT_EQ(cluster.effects(leader, "run_started").size(), before);
        const Answer answer = stream.wait(Millis(60000));
        EXPECT_EQ(answer.body.count("\"finish_reason\":null"), 400);
        EXPECT_TRUE(cluster.effects(leader, "run_aborted").empty());
        EXPECT_EQ(before, 1U);
        EXPECT_TRUE(waitUntil([&] { return cluster.call("GET", cluster.urlOf(leader) + "/status").json()["state"].toString() == "idle"; })) << "the drained group is released";
    }

    bool isReplaced(const std::string& node)
    {
        const std::vector<QJsonObject> groups = cluster.wholeGroups(node);
        return groups.size() == 1 && groups.front()["epoch"].toDouble() > group["epoch"].toDouble();
    }

    static constexpr char timing[] = "[timing]\nlease_ttl_ms = 1000\n";
    Cluster cluster;
    QJsonObject group;
    std::string leader;
    std::string member;
    PendingAnswer stream;
};

TEST_F(Leaving, ByItsOwnStatusWhileTheListLags)
{
    cluster.setFaults("store", { { "list_lag_ms", 86400000 } });
    for (Instance& instance : cluster.instances())
        instance.leaving = instance.id == member;
    cluster.publishInstances();
    cluster.setFaults(member, { { "leaving", true } });
    expectReplaced();
}

TEST_F(Leaving, ByTheListAlone)
{
    for (Instance& instance : cluster.instances())
        instance.leaving = instance.id == member;
    cluster.publishInstances();
    expectReplaced();
}

// The group refuses the request more times than a request that may have run is retried. A refused
// request has not run, so it waits until a group accepts it.
TEST_F(Leaving, ARequestThatNoGroupAcceptsYetWaitsUntilOneDoes)
{
    cluster.setFaults(leader, { { "refuse", true } });
    const PendingAnswer waiting = cluster.startCompletion("n1", {});
    ASSERT_TRUE(waitUntil([&] { return cluster.effects(leader, "run_refused").size() >= 6 || *waiting.isDone; }));
    cluster.setFaults(leader, { { "refuse", false } });
    EXPECT_EQ(waiting.wait().status, 200);
}

TEST_F(Leaving, ByAnOperatorsDrain)
{
    const QByteArray key = "/hemlockweir/drains/" + QByteArray::fromStdString(member);
    const QJsonObject put { { "key", QString::fromLatin1(key.toBase64()) }, { "value", QString::fromLatin1(QByteArray(R"({"by":"test","reason":"test"})").toBase64()) } };
    ASSERT_EQ(cluster.call("POST", cluster.urlOf("store") + "/v3/kv/put", QJsonDocument(put).toJson()).status, 200);
    expectReplaced();
}

} // namespace hemlockweir
