// Open connections stop delivering data permanently while new connections work.

#include "support/Cluster.h"

#include <QJsonDocument>
#include <gtest/gtest.h>

namespace hemlockweir {

class Silence : public testing::Test {
protected:
    void SetUp() override
    {
        cluster.startStore();
        cluster.startEngine({ .id = "e1", .domain = "a", .fabric = "a1", .pool = "models" }, { "--token-ms", "20" });
        cluster.startService("o1", "a", "orders");
        cluster.startProxy({ "e," + cluster.addressOf("e-link") + "," + cluster.addressOf("e1"),
            "o," + cluster.addressOf("o-link") + "," + cluster.addressOf("o1"),
            "s," + cluster.addressOf("s-link") + "," + cluster.addressOf("store") });
        cluster.instances()[0].address = cluster.addressOf("e-link");
        cluster.instances()[1].address = cluster.addressOf("o-link");
        cluster.publishInstances();
        cluster.startNode({ .name = "n1", .domain = "a", .platform = "s-link", .settings = "[timing]\nsilence_timeout_ms = 500\n" });
        ASSERT_EQ(cluster.publish(makeServiceFile(1)), 0);
        ASSERT_TRUE(cluster.waitForGroups("n1", 1));
    }

    QByteArray textOf(const QByteArray& bytes)
    {
        QByteArray text;
        for (const QByteArray& line : bytes.split('\n'))
            text += QJsonDocument::fromJson(line.mid(6)).object()["choices"].toArray().at(0).toObject()["text"].toString().toUtf8();
        return text;
    }

    PendingAnswer startStream()
    {
        return cluster.start("POST", cluster.urlOf("n1") + "/v1/completions", R"({"model":"m","prompt":"p","max_tokens":60,"stream":true,"seed":7})",
            { { "Authorization", "Bearer caller-key" } });
    }

    PendingAnswer startOrder(const QByteArray& deadlineMs)
    {
        return cluster.start("POST", cluster.urlOf("n1") + "/orders", "{}", { { "Authorization", "Bearer caller-key" }, { "Idempotency-Key", "k" }, { "X-Deadline-Ms", deadlineMs } });
    }

    Cluster cluster;
};

TEST_F(Silence, AStreamContinuesWithTheOnlyGroupOverANewConnection)
{
    const QByteArray undisturbed = textOf(startStream().wait().body);
    const PendingAnswer stream = startStream();
    ASSERT_TRUE(waitUntil([&] { return stream.received->count("\"text\"") >= 5; }));
    cluster.setFaults("proxy", { { "e.silence", 1 } });
    const QByteArray body = stream.wait().body;
    EXPECT_TRUE(body.endsWith("data: [DONE]\n\n"));
    EXPECT_EQ(textOf(body), undisturbed);
    // The group did not fail: it was served throughout under the same epoch.
    EXPECT_TRUE(cluster.effects("e1", "group_broken").empty());
    EXPECT_EQ(cluster.effects("e1", "order").size(), 1U);
}

TEST_F(Silence, AnOrderRunsOnceAndStaysUnknown)
{
    cluster.setFaults("o1", { { "delay_ms", 300 } });
    const PendingAnswer first = startOrder("1000");
    ASSERT_TRUE(waitUntil([&] { return cluster.effects("o1", "order").size() == 1; }));
    cluster.setFaults("proxy", { { "o.silence", 1 } });
    EXPECT_EQ(first.wait().outcome(), "unknown");
    EXPECT_TRUE(waitUntil([&] { return startOrder("1000").wait().body == first.wait().body; }));
    EXPECT_EQ(cluster.effects("o1", "order").size(), 1U);
}

TEST_F(Silence, CallsToThePlatformContinueOverNewConnections)
{
    cluster.setFaults("store", { { "delay_ms", 200 } });
    const PendingAnswer first = startOrder("5000");
    cluster.setFaults("proxy", { { "s.silence", 1 } });
    cluster.setFaults("store", { { "delay_ms", 0 } });
    // Whatever the lost platform call was for, the order ends within its time limits and runs once.
    first.wait();
    EXPECT_TRUE(waitUntil([&] { return startOrder("5000").wait().status == 200; }));
    EXPECT_EQ(cluster.effects("o1", "order").size(), 1U);
}

// A caller behind a link that can drop all traffic without closing the connection.
class SilentCaller : public testing::TestWithParam<bool> {
protected:
    void SetUp() override
    {
        cluster.startStore();
        cluster.startEngine({ .id = "e1", .domain = "a", .fabric = "a1", .pool = "models" }, { "--token-ms", "20" });
        cluster.publishInstances();
        cluster.startProxy({ "c," + cluster.addressOf("c-link") + "," + cluster.addressOf("n1") });
        cluster.startNode({ .name = "n1", .domain = "a", .settings = "[timing]\ncaller_timeout_ms = 2000\n" });
        ASSERT_EQ(cluster.publish(makeServiceFile(1)), 0);
        ASSERT_TRUE(cluster.waitForGroups("n1", 1));
    }

    Cluster cluster;
};

// With a stream, the node notices by unacknowledged bytes; without one it has nothing to send, so only
// keepalive probes reveal the loss.
TEST_P(SilentCaller, LossIsDetectedAndItsWorkIsCancelled)
{
    const QByteArray body = QByteArray(R"({"model":"m","prompt":"p","max_tokens":100000,"stream":)") + (GetParam() ? "true}" : "false}");
    const PendingAnswer lost = cluster.start("POST", cluster.urlOf("c-link") + "/v1/completions", body, { { "Authorization", "Bearer caller-key" } });
    ASSERT_TRUE(waitUntil([&] { return cluster.effects("e1", "run_started").size() == 1; }));
    ASSERT_TRUE(waitUntil([&] { return !GetParam() || lost.received->contains("\"text\""); }));
    cluster.setFaults("proxy", { { "c.black_hole", 1 } });
    EXPECT_TRUE(waitUntil([&] { return cluster.effects("e1", "run_cancelled").size() == 1; }));
    // The slot is free, and a caller with a new connection is served.
    EXPECT_EQ(cluster.requestCompletion("c-link", {}).status, 200);
}

INSTANTIATE_TEST_SUITE_P(StreamedAndWhole, SilentCaller, testing::Bool());

} // namespace hemlockweir
