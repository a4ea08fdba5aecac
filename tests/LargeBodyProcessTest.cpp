// Tests that a single request within the limits is served when nothing else is wrong, however long its body takes to the endpoint.

#include "support/Cluster.h"
#include "support/RawClient.h"

#include <gtest/gtest.h>

namespace hemlockweir {

namespace {

    constexpr qint64 bodyBytes = 4000000; // within the limit of 4 MiB
    constexpr int linkBytesPerSecond = 1750000; // of the smallest machine that is to be served

    QByteArray makeRequest(const QByteArray& path, const QByteArray& body, const QByteArray& id)
    {
        return "POST " + path + " HTTP/1.1\r\nHost: soak.test\r\nAuthorization: Bearer caller-key\r\nX-Request-Id: " + id + "\r\nContent-Length: " + QByteArray::number(body.size()) + "\r\n\r\n" + body;
    }

} // namespace

// A gateway in front of plain endpoints that it reaches over slow links.
class GatewayLargeBody : public testing::Test {
protected:
    void start(const std::vector<std::string>& endpoints)
    {
        cluster_.startProgram("store", "standin-kvstore", { "--listen", QString::fromStdString(cluster_.addressOf("store")) }, cluster_.urlOf("store") + "/effects");
        std::vector<std::string> links;
        links.reserve(endpoints.size());
        for (const std::string& endpoint : endpoints)
            links.push_back("to-" + endpoint + "," + cluster_.addressOf("to-" + endpoint) + "," + cluster_.addressOf(endpoint));
        cluster_.startProxy(links);
        for (const std::string& endpoint : endpoints) {
            cluster_.setFaults("proxy", { { QString::fromStdString("to-" + endpoint + ".bytes_per_s"), linkBytesPerSecond } });
            cluster_.startProgram(endpoint, "standin-member", { "--listen", QString::fromStdString(cluster_.addressOf(endpoint)), "--id", QString::fromStdString(endpoint), "--zone", "a", "--service", "desk", "--store", QString::fromStdString(cluster_.addressOf("store")), "--advertised", QString::fromStdString(cluster_.addressOf("to-" + endpoint)), "--plain" }, cluster_.urlOf(endpoint) + "/effects");
        }
        const std::string settings = "[gateway]\nnode = \"g\"\nfailure_domain = \"a\"\ncallers = \"" + cluster_.addressOf("g") + "\"\nready = \"" + cluster_.addressOf("ready") + "\"\ncontrol = \"" + cluster_.addressOf("control") + "\"\npeers = \""
            + cluster_.addressOf("peers") + "\"\nfirst_start = true\n\n[gateway.platform]\nstore = \"" + cluster_.addressOf("store") + "\"\n\n[gateway.memory]\nmemory_mb = 112\n";
        cluster_.startProgram("g", "hemlockweir", { "--settings", cluster_.writeFile("g.toml", settings) }, "http://" + cluster_.addressOf("control") + "/metrics");
        // The endpoints need far longer for a body than the time without a byte after which they count as unresponsive.
        const QByteArray configuration = R"({"version":2,"routes":[{"name":"look","host":"soak.test","prefix":"/","service":"desk","kind":"safe","timeout_ms":30000,"target_latency_ms":100,"max_attempts":2}],
            "services":[{"name":"desk","max_connections":200}],
            "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
        EXPECT_EQ(cluster_.call("PUT", cluster_.urlOf("store") + "/entry?key=op/config", configuration).status, 200);
        EXPECT_TRUE(waitUntil([this] { return send(makeRequest("/x", {}, "first")) == 200; }));
    }

    int send(const QByteArray& bytes)
    {
        RawClient caller(cluster_.addressOf("g"));
        caller.send(bytes);
        return caller.waitForStatus();
    }

    size_t arrivals(const std::string& endpoint, const QString& id)
    {
        const std::vector<QJsonObject> all = cluster_.effects(endpoint, "arrived");
        return static_cast<size_t>(std::count_if(all.begin(), all.end(), [&](const QJsonObject& effect) { return effect["request"].toString() == id; }));
    }

    Cluster cluster_;
};

TEST_F(GatewayLargeBody, IsServedByTheOnlyEndpointBesideOrdinaryRequests)
{
    start({ "desk-1" });
    RawClient caller(cluster_.addressOf("g"));
    caller.send(makeRequest("/x", QByteArray(bodyBytes, 'x'), "large"));
    int ordinary = 0;
    waitUntil([&] {
        EXPECT_EQ(send(makeRequest("/x", "hi", "ordinary-" + QByteArray::number(++ordinary))), 200);
        return testing::Test::HasFailure() || caller.received().contains("\r\n\r\n") || caller.socket().state() == QAbstractSocket::UnconnectedState;
    });
    EXPECT_EQ(caller.waitForStatus(), 200);
    EXPECT_EQ(arrivals("desk-1", "large"), 1U);
}

TEST_F(GatewayLargeBody, IsSentToOneOfSeveralEndpoints)
{
    start({ "desk-1", "desk-2", "desk-3" });
    EXPECT_EQ(send(makeRequest("/x", QByteArray(bodyBytes, 'x'), "large")), 200);
    EXPECT_EQ(arrivals("desk-1", "large") + arrivals("desk-2", "large") + arrivals("desk-3", "large"), 1U);
    EXPECT_FALSE(cluster_.logOf("g").contains("endpoint_silent"));
}

// An answer that takes longer than an endpoint may be silent is awaited, since no other endpoint could give one.
TEST_F(GatewayLargeBody, SlowAnswerOfTheOnlyEndpointIsAwaited)
{
    start({ "desk-1" });
    cluster_.setFaults("desk-1", { { "slow", 200 } });
    RawClient caller(cluster_.addressOf("g"));
    caller.send(makeRequest("/x", "hi", "slow"));
    ASSERT_TRUE(waitUntil([&] { return arrivals("desk-1", "slow") == 1; }));
    cluster_.setFaults("desk-1", { { "slow", 0 } });
    EXPECT_EQ(caller.waitForStatus(), 200);
    EXPECT_EQ(send(makeRequest("/x", "hi", "next")), 200);
    EXPECT_EQ(arrivals("desk-1", "slow"), 1U);
}

// The node of the project's own interface.
TEST(NodeLargeBody, IsServedByTheOnlyEndpoint)
{
    Cluster cluster;
    cluster.startStore();
    cluster.startProxy({ "to-desk," + cluster.addressOf("to-desk") + "," + cluster.addressOf("desk") });
    cluster.setFaults("proxy", { { "to-desk.bytes_per_s", linkBytesPerSecond } });
    cluster.startService("desk", "a", "orders");
    cluster.instances().back().address = cluster.addressOf("to-desk");
    cluster.publishInstances();
    cluster.startNode({ .name = "n1", .domain = "a" });
    ASSERT_EQ(cluster.publish(makeServiceFile(2)), 0);
    const auto send = [&](const QByteArray& body, const QByteArray& id) {
        RawClient caller(cluster.addressOf("n1"));
        caller.send(makeRequest("/orders", body, id));
        return caller.waitForStatus();
    };
    ASSERT_TRUE(waitUntil([&] { return send("{}", "first") == 200; }));
    EXPECT_EQ(send(QByteArray(bodyBytes, 'x'), "large"), 200);
}

} // namespace hemlockweir
