// Tests that a planned stop of a node interrupts no request in flight.

#include "support/Cluster.h"

#include <QTcpSocket>
#include <QUrl>
#include <gtest/gtest.h>

namespace hemlockweir {

class Shutdown : public testing::Test {
protected:
    void SetUp() override
    {
        cluster.startStore();
        cluster.startEngines({ .count = 2, .domain = "a", .fabric = "a1", .arguments = { "--token-ms", "20" } });
        cluster.startNode({ .name = "n1", .domain = "a", .settings = "[timing]\nshutdown_quiet_ms = 3000\n" });
        ASSERT_EQ(cluster.publish(makeServiceFile(2)), 0);
        ASSERT_TRUE(cluster.waitForGroups("n1", 1));
    }

    bool waitForUnready()
    {
        return waitUntil([&] { return cluster.call("GET", cluster.urlOf("n1") + "/readyz").status == 503; });
    }

    Cluster cluster;
};

TEST_F(Shutdown, FinishesStreamsAndServesLateRequests)
{
    const PendingAnswer stream = cluster.startCompletion("n1", { .maxTokens = 250, .stream = true });
    ASSERT_TRUE(waitUntil([&] { return stream.received->contains("\"text\""); }));
    cluster.terminate("n1");
    ASSERT_TRUE(waitForUnready());
    // A load balancer still sends requests for some time after /readyz fails.
    ASSERT_TRUE(waitUntil([&] { return stream.received->count("\"text\"") >= 20; }));
    EXPECT_EQ(cluster.requestCompletion("n1", { .maxTokens = 2 }).status, 200);
    cluster.terminate("n1");
    const QByteArray body = stream.wait().body;
    EXPECT_EQ(body.count("\"finish_reason\":null"), 250);
    EXPECT_TRUE(body.endsWith("data: [DONE]\n\n"));
    EXPECT_TRUE(cluster.waitForExit("n1"));
    EXPECT_TRUE(cluster.logOf("n1").contains("event=node_stopped in_flight=0"));
}

TEST_F(Shutdown, SendsConnectionCloseOnOpenConnections)
{
    const QUrl url(QString::fromStdString(cluster.urlOf("n1")));
    QTcpSocket socket;
    socket.connectToHost(url.host(), static_cast<quint16>(url.port()));
    const QByteArray request = "GET /healthz HTTP/1.1\r\nHost: n1\r\n\r\n";
    QByteArray answer;
    auto sendRequest = [&] {
        answer.clear();
        socket.write(request);
        return waitUntil([&] {
            answer += socket.readAll();
            return answer.endsWith("{\"ok\":true}");
        });
    };
    ASSERT_TRUE(sendRequest());
    EXPECT_FALSE(answer.toLower().contains("connection: close"));
    cluster.terminate("n1");
    ASSERT_TRUE(waitForUnready());
    ASSERT_TRUE(sendRequest());
    EXPECT_TRUE(answer.toLower().contains("connection: close"));
    EXPECT_TRUE(cluster.waitForExit("n1"));
}

} // namespace hemlockweir
