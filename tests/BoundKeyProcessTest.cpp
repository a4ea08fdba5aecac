// Checks that orders under keys bound to a node run at most once, also while the platform is
// unavailable and while the key's home node is killed, restarted, paused or disconnected at each
// step. The endpoint's effect log is the reference.

#include "support/Cluster.h"

#include <QJsonDocument>
#include <gtest/gtest.h>
#include <set>

namespace hemlockweir {

class BoundKeys : public testing::Test {
protected:
    // Two nodes and the endpoint in domain a; peer traffic and key claims reach n1 through the
    // proxy.
    void SetUp() override
    {
        cluster.startStore();
        cluster.startService("o1", "a", "orders");
        cluster.startProxy({ "n1-tcp," + linkTo("n1"), "n1-udp," + linkTo("n1") + ",udp", "n3-tcp," + linkTo("n3"), "n3-udp," + linkTo("n3") + ",udp" });
        cluster.startNode({ .name = "n1", .domain = "a", .seeds = { "n2" }, .advertised = "n1.in" });
        cluster.startNode({ .name = "n2", .domain = "a", .seeds = { "n1" } });
        ASSERT_EQ(cluster.publish(makeServiceFile(2)), 0);
        for (const char* node : { "n1", "n2" })
            ASSERT_TRUE(waitForInstance(node));
    }

    std::string linkTo(const std::string& node) { return cluster.addressOf(node + ".in") + "," + cluster.addressOf(node + ".peers"); }

    static std::vector<HttpHeader> authorization() { return { { "Authorization", "Bearer caller-key" } }; }

    bool waitForInstance(const std::string& node)
    {
        return waitUntil([&] { return cluster.call("GET", cluster.urlOf(node) + "/orders", {}, authorization()).json()["instance"].toString() == "o1"; });
    }

    Answer requestKey(const std::string& node) { return cluster.call("POST", cluster.urlOf(node) + "/v1/idempotency-keys", {}, authorization()); }
    QByteArray fetchKey(const std::string& node) { return requestKey(node).json()["key"].toString().toLatin1(); }

    PendingAnswer startOrder(const std::string& node, const QByteArray& key, const QByteArray& body = "{\"prisms\":2}")
    {
        std::vector<HttpHeader> headers = authorization();
        headers.push_back({ "Idempotency-Key", key });
        headers.push_back({ "X-Deadline-Ms", "20000" });
        return cluster.start("POST", cluster.urlOf(node) + "/orders", body, headers);
    }

    Answer order(const std::string& node, const QByteArray& key, const QByteArray& body = "{\"prisms\":2}") { return startOrder(node, key, body).wait(); }

    static QString typeOf(const Answer& answer) { return answer.json()["error"].toObject()["type"].toString(); }

    static void expectError(const Answer& answer, const QString& type, const QString& outcome)
    {
        EXPECT_EQ(typeOf(answer), type);
        EXPECT_EQ(answer.outcome(), outcome);
    }

    void stopPlatform() { cluster.setFaults("store", { { "down", true } }); }

    // Polls a metric, because repeating the order could itself claim the key.
    bool waitForClaimAt(const std::string& home)
    {
        return waitUntil([&] { return cluster.call("GET", cluster.urlOf(home) + "/metrics").body.contains("hemlockweir_bound_keys_held 1\n"); });
    }

    size_t orders() { return cluster.effects("o1", "order").size(); }
    bool waitForOrder()
    {
        return waitUntil([&] { return orders() == 1; });
    }

    Cluster cluster;
};

TEST_F(BoundKeys, RunsOnceThroughEachNodeWhileThePlatformIsDown)
{
    stopPlatform();
    size_t expected = 0;
    for (const char* home : { "n1", "n2" }) {
        for (const char* other : { "n1", "n2" }) {
            const QByteArray key = fetchKey(home);
            const Answer first = order(other, key);
            EXPECT_EQ(first.status, 200);
            for (const char* node : { "n1", "n2" })
                EXPECT_EQ(order(node, key).body, first.body);
            EXPECT_EQ(orders(), ++expected);
        }
    }
}

TEST_F(BoundKeys, RunsOnceWhenTwoNodesRace)
{
    stopPlatform();
    cluster.setFaults("o1", { { "delay_ms", 100 } });
    const QByteArray key = fetchKey("n1");
    const PendingAnswer first = startOrder("n1", key);
    const PendingAnswer second = startOrder("n2", key);
    const std::multiset<int> statuses { first.wait().status, second.wait().status };
    EXPECT_EQ(statuses.count(200), 1U);
    EXPECT_EQ(statuses.count(409), 1U);
    EXPECT_EQ(orders(), 1U);
}

TEST_F(BoundKeys, RefusesItForAnotherOrder)
{
    const QByteArray key = fetchKey("n1");
    EXPECT_EQ(order("n2", key).status, 200);
    expectError(order("n1", key, "{\"prisms\":3}"), "idempotency_key_reused", "not_run");
    EXPECT_EQ(orders(), 1U);
}

TEST_F(BoundKeys, RefusesForgedAndAlteredKeys)
{
    const QByteArray key = fetchKey("n1");
    QByteArray altered = key;
    altered[20] = altered[20] == 'A' ? 'B' : 'A';
    for (const QByteArray& bad : { altered, key.left(key.size() - 1), QByteArray("hemlockweir-1.AAAA.AAAA"), QByteArray("hemlockweir-1.") })
        expectError(order("n2", bad), "foreign_idempotency_key", "unknown");
    EXPECT_EQ(orders(), 0U);
}

TEST_F(BoundKeys, IsNotRunWhenItsHomeDiedBeforeTheClaim)
{
    const QByteArray key = fetchKey("n1");
    cluster.kill("n1");
    expectError(order("n2", key), "home_unreachable", "unknown");
    cluster.restart("n1");
    ASSERT_TRUE(waitForInstance("n1"));
    for (const char* node : { "n1", "n2" })
        expectError(order(node, key), "key_lost", "unknown");
    EXPECT_EQ(orders(), 0U);
}

TEST_F(BoundKeys, IsNotRunAgainWhenItsHomeDiedBetweenClaimAndRun)
{
    stopPlatform();
    cluster.setFaults("o1", { { "pause", true } });
    const QByteArray key = fetchKey("n1");
    const PendingAnswer first = startOrder("n2", key);
    ASSERT_TRUE(waitForClaimAt("n1"));
    cluster.kill("n1");
    expectError(order("n2", key), "home_unreachable", "unknown");
    cluster.setFaults("store", { { "down", false } });
    cluster.restart("n1");
    ASSERT_TRUE(waitUntil([&] { return typeOf(order("n1", key)) == "key_lost"; }));
    EXPECT_LE(orders(), 1U);
}

TEST_F(BoundKeys, IsNotRunAgainWhenItsHomeDiedBeforeTheAnswer)
{
    cluster.setFaults("o1", { { "delay_ms", 20000 } });
    const QByteArray key = fetchKey("n1");
    const PendingAnswer first = startOrder("n1", key);
    ASSERT_TRUE(waitForOrder());
    cluster.kill("n1");
    cluster.setFaults("o1", { { "delay_ms", 0 } });
    expectError(order("n2", key), "home_unreachable", "unknown");
    cluster.restart("n1");
    ASSERT_TRUE(waitForInstance("n1"));
    for (const char* node : { "n1", "n2" })
        expectError(order(node, key), "key_lost", "unknown");
    EXPECT_EQ(orders(), 1U);
}

TEST_F(BoundKeys, IsNotRunAgainWhenTheNodeThatRanItDied)
{
    cluster.setFaults("o1", { { "delay_ms", 20000 } });
    const QByteArray key = fetchKey("n1");
    const PendingAnswer first = startOrder("n2", key);
    ASSERT_TRUE(waitForOrder());
    cluster.kill("n2");
    expectError(order("n1", key), "in_progress_or_unknown", "unknown");
    EXPECT_EQ(orders(), 1U);
}

TEST_F(BoundKeys, RunsOnceThoughItsHomeWasPausedBeforeTheClaim)
{
    const QByteArray key = fetchKey("n1");
    cluster.pause("n1");
    expectError(order("n2", key), "home_unreachable", "unknown");
    EXPECT_EQ(orders(), 0U);
    cluster.resume("n1");
    EXPECT_TRUE(waitUntil([&] { return order("n2", key).status == 200; }));
    EXPECT_EQ(order("n1", key).status, 200);
    EXPECT_EQ(orders(), 1U);
}

TEST_F(BoundKeys, RunsOnceThoughItsHomeWasPausedBeforeTheAnswer)
{
    cluster.setFaults("o1", { { "delay_ms", 300 } });
    const QByteArray key = fetchKey("n1");
    const PendingAnswer first = startOrder("n2", key);
    ASSERT_TRUE(waitForOrder());
    cluster.pause("n1");
    EXPECT_EQ(first.wait().status, 200) << "the caller receives its answer although the home cannot store it now";
    cluster.resume("n1");
    EXPECT_TRUE(waitUntil([&] { return order("n1", key).body == first.wait().body; }));
    EXPECT_EQ(orders(), 1U);
}

TEST_F(BoundKeys, RunsOnceThoughTheAnswersOfItsHomeWereCutOff)
{
    const QByteArray key = fetchKey("n1");
    cluster.setFaults("proxy", { { "n1-tcp.drop_answers", true } });
    expectError(order("n2", key), "home_unreachable", "unknown");
    EXPECT_EQ(orders(), 0U);
    // The home received the cancellation of this attempt, so the key can be claimed again there.
    EXPECT_TRUE(waitUntil([&] { return order("n1", key).status == 200; }));
    cluster.setFaults("proxy", { { "n1-tcp.drop_answers", false } });
    EXPECT_EQ(order("n2", key).status, 200);
    EXPECT_EQ(orders(), 1U);
}

TEST_F(BoundKeys, RunsOnceThoughItsHomeWasCutOffWhileItRan)
{
    cluster.setFaults("o1", { { "delay_ms", 300 } });
    const QByteArray key = fetchKey("n1");
    const PendingAnswer first = startOrder("n2", key);
    ASSERT_TRUE(waitForOrder());
    cluster.setFaults("proxy", { { "n1-tcp.cut", true } });
    EXPECT_EQ(first.wait().status, 200);
    expectError(order("n1", key), "in_progress_or_unknown", "unknown");
    cluster.setFaults("proxy", { { "n1-tcp.cut", false } });
    EXPECT_TRUE(waitUntil([&] { return order("n1", key).body == first.wait().body; }));
    EXPECT_EQ(orders(), 1U);
}

// The nodes of domain a can reach neither the platform nor the node of domain b.
TEST_F(BoundKeys, ServesADomainThatIsCutOff)
{
    cluster.startNode({ .name = "n3", .domain = "b", .seeds = { "n2" }, .advertised = "n3.in" });
    ASSERT_TRUE(waitForInstance("n3"));
    const QByteArray far = fetchKey("n3");
    cluster.setFaults("proxy", { { "n3-tcp.cut", true }, { "n3-udp.cut", true } });
    stopPlatform();
    const QByteArray near = fetchKey("n1");
    EXPECT_EQ(order("n2", near).status, 200);
    EXPECT_EQ(order("n1", near).status, 200);
    expectError(order("n1", far), "home_unreachable", "unknown");
    expectError(order("n1", "a key of the caller's own"), "claim_unavailable", "not_run");
    EXPECT_EQ(orders(), 1U);
}

TEST_F(BoundKeys, IsRefusedAsNotRunInAPlannedStopUnlessItRan)
{
    cluster.setFaults("o1", { { "delay_ms", 500 } });
    const QByteArray unclaimed = fetchKey("n1");
    const QByteArray claimed = fetchKey("n1");
    const PendingAnswer running = startOrder("n2", claimed);
    ASSERT_TRUE(waitForOrder());
    cluster.terminate("n1");
    ASSERT_TRUE(waitUntil([&] { return cluster.logOf("n1").contains("node_stopping"); }));
    expectError(order("n2", unclaimed), "key_refused", "not_run");
    EXPECT_EQ(running.wait().status, 200);
    EXPECT_TRUE(cluster.waitForExit("n1"));
    expectError(order("n2", claimed), "home_unreachable", "unknown");
    EXPECT_EQ(orders(), 1U);
}

TEST_F(BoundKeys, WaitsInAPlannedStopForClaimsThatOtherNodesRun)
{
    cluster.setFaults("o1", { { "pause", true } });
    const QByteArray key = fetchKey("n1");
    const PendingAnswer running = startOrder("n2", key);
    ASSERT_TRUE(waitForClaimAt("n1"));
    cluster.terminate("n1");
    ASSERT_TRUE(waitUntil([&] { return cluster.logOf("n1").contains("node_draining_claims"); }));
    cluster.kill("n2");
    EXPECT_TRUE(cluster.waitForExit("n1")) << "it does not wait for a dead node";
}

} // namespace hemlockweir
