// Tests that a running node survives and refuses malformed, oversized and unauthorized requests. The
// tests send raw bytes over TCP and UDP sockets.

#include "support/Cluster.h"
#include "support/RawClient.h"
#include "wire/Codec.h"
#include "wire/MembershipMessages.h"

#include <QFile>
#include <QUdpSocket>
#include <gtest/gtest.h>

namespace hemlockweir {

static constexpr qint64 mebibyte = 1024 * 1024;
static const QByteArray authorization = "Authorization: Bearer caller-key\r\n";

class CallerLimits : public testing::Test {
protected:
    void start(const std::string& settings = {})
    {
        cluster.startStore();
        cluster.startEngines({ .count = 2, .domain = "a", .fabric = "a1" });
        cluster.startNode({ .name = "n1", .domain = "a", .settings = settings });
        ASSERT_EQ(cluster.publish(makeServiceFile(2)), 0);
        ASSERT_TRUE(cluster.waitForGroups("n1", 1));
    }

    static QByteArray post(const QByteArray& path, const QByteArray& body, const QByteArray& headers = {})
    {
        return "POST " + path + " HTTP/1.1\r\nHost: node\r\n" + authorization + headers + "Content-Length: " + QByteArray::number(body.size()) + "\r\n\r\n" + body;
    }

    // Sends one request on a new connection and returns the HTTP status. The answer must be a JSON error
    // with the outcome "not_run".
    int refusalOf(const QByteArray& request)
    {
        RawClient client(cluster.addressOf("n1"));
        client.send(request);
        const int status = client.waitForStatus();
        EXPECT_TRUE(client.waitForText("\"outcome\":\"not_run\"")) << request.left(200).constData() << " -> " << client.received().constData();
        EXPECT_TRUE(client.waitForText("\"error\":{")) << client.received().constData();
        return status;
    }

    int completionStatus(const QByteArray& body) { return refusalOf(post("/v1/completions", body)); }

    // Sends a request on a new connection, which stays open. Returns whether the connection was refused.
    bool isRefused(std::vector<std::unique_ptr<RawClient>>& connections, const std::string& from)
    {
        connections.push_back(std::make_unique<RawClient>(cluster.addressOf("n1"), from));
        connections.back()->send("GET /healthz HTTP/1.1\r\n\r\n");
        const int status = connections.back()->waitForStatus();
        EXPECT_TRUE(status == 200 || connections.back()->waitForText("\"outcome\":\"not_run\""));
        return status == 503;
    }

    bool isUp() { return cluster.call("GET", cluster.urlOf("n1") + "/healthz").status == 200; }

    Cluster cluster;
};

TEST_F(CallerLimits, RefusesAContentLengthOverTheLimit)
{
    start();
    for (const char* length : { "4194305", "419430400", "18446744073709551615" })
        EXPECT_EQ(refusalOf("POST /v1/completions HTTP/1.1\r\nContent-Length: " + QByteArray(length) + "\r\n\r\n"), 413);
}

TEST_F(CallerLimits, AnswersAStreamOverTheLimitInBoundedMemory)
{
    cluster.disableAsanQuarantine();
    start();
    const qint64 before = cluster.peakMemory("n1");
    RawClient client(cluster.addressOf("n1"));
    client.send("POST /v1/completions HTTP/1.1\r\nContent-Length: 20971520\r\n\r\n" + QByteArray(20 * mebibyte, 'x'));
    EXPECT_EQ(client.waitForStatus(), 413);
    EXPECT_TRUE(client.waitForText("\"outcome\":\"not_run\""));
    EXPECT_TRUE(isUp());
    // A buffered body would take 20 MiB, and Qt's copy of it another 20 MiB.
    EXPECT_LT(cluster.peakMemory("n1") - before, 10 * mebibyte);
}

TEST_F(CallerLimits, RefusesHeadersOverTheLimit)
{
    start();
    EXPECT_EQ(refusalOf("GET /healthz HTTP/1.1\r\nX-Long: " + QByteArray(20000, 'x') + "\r\n\r\n"), 431);
    EXPECT_EQ(refusalOf("GET /" + QByteArray(mebibyte, 'x')), 431);
}

TEST_F(CallerLimits, RefusesAmbiguousLengthsAndForeignVersions)
{
    start();
    const QByteArray line = "POST /v1/completions HTTP/1.1\r\n";
    EXPECT_EQ(refusalOf(line + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{} "), 400);
    EXPECT_EQ(refusalOf(line + "Content-Length: -2\r\n\r\n{}"), 400);
    EXPECT_EQ(refusalOf(line + "Content-Length: 2x\r\n\r\n{}"), 400);
    EXPECT_EQ(refusalOf(line + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), 411);
    EXPECT_EQ(refusalOf(line + "Content-Length : 2\r\n\r\n{}"), 400);
    EXPECT_EQ(refusalOf("GET / HTTP/9.9\r\n\r\n"), 505);
    EXPECT_EQ(refusalOf("\x16\x03\x01 garbage\r\n\r\n"), 400);
    EXPECT_EQ(refusalOf(QByteArray("GET /\0 HTTP/1.1\r\n\r\n", 19)), 400);
    EXPECT_TRUE(isUp());
}

TEST_F(CallerLimits, TimesOutIncompleteRequestsAndIdleConnections)
{
    start("[limits]\nrequest_timeout_ms = 100\nidle_timeout_ms = 100\n");
    EXPECT_EQ(refusalOf("POST /v1/completions HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf"), 408);
    EXPECT_EQ(refusalOf("POST /v1/comp"), 408);
    RawClient idle(cluster.addressOf("n1"));
    EXPECT_TRUE(idle.waitForClose());
    EXPECT_TRUE(idle.received().isEmpty());
}

TEST_F(CallerLimits, AnswersExpectContinueBeforeTheBody)
{
    start();
    const QByteArray request = post("/v1/completions", R"({"model":"m","prompt":"p","max_tokens":2})", "Expect: 100-continue\r\n");
    const qsizetype bodyAt = request.indexOf("\r\n\r\n") + 4;
    RawClient client(cluster.addressOf("n1"));
    client.send(request.left(bodyAt));
    ASSERT_TRUE(client.waitForText("HTTP/1.1 100 Continue\r\n\r\n"));
    client.send(request.mid(bodyAt));
    EXPECT_TRUE(client.waitForText("\"completion_tokens\":2"));
}

TEST_F(CallerLimits, RefusesConnectionsOverTheLimitOfAnAddress)
{
    start("[limits]\nmax_connections = 6\nmax_connections_per_address = 3\n");
    std::vector<std::unique_ptr<RawClient>> connections;
    for (int i = 0; i < 3; ++i)
        EXPECT_FALSE(isRefused(connections, "127.0.0.2"));
    EXPECT_TRUE(isRefused(connections, "127.0.0.2")) << "fourth connection from one address";
    connections.clear();
    EXPECT_TRUE(waitUntil([&] { return !isRefused(connections, "127.0.0.2"); })) << "closed connections still count";
}

// A new connection takes the place of one that waits, but not of one whose request is at work.
TEST_F(CallerLimits, RefusesConnectionsOverTheLimitOfAllAddresses)
{
    constexpr int limit = 6;
    start("[limits]\nmax_connections = 6\nmax_connections_per_address = 3\n");
    std::vector<std::unique_ptr<RawClient>> connections;
    for (int address = 1; address <= 2 * limit; ++address)
        EXPECT_FALSE(isRefused(connections, "127.0.1." + std::to_string(address))) << "an idle connection is kept";
    std::vector<std::unique_ptr<RawClient>> streams;
    for (int address = 1; address <= limit; ++address) {
        streams.push_back(std::make_unique<RawClient>(cluster.addressOf("n1"), "127.0.2." + std::to_string(address)));
        streams.back()->send(post("/v1/completions", R"({"model":"m","prompt":"p","max_tokens":100000,"stream":true})"));
        EXPECT_TRUE(streams.back()->waitForText("finish_reason"));
    }
    EXPECT_TRUE(isRefused(connections, "127.0.3.1")) << "seventh connection beside six requests at work";
    for (const auto& stream : streams)
        EXPECT_EQ(stream->socket().state(), QAbstractSocket::ConnectedState) << "a request at work was closed";
    streams.clear();
    EXPECT_TRUE(waitUntil([&] { return !isRefused(connections, "127.0.0.250"); })) << "closed connections still count";
}

TEST_F(CallerLimits, AnswersPipelinedRequestsInOrder)
{
    start();
    RawClient client(cluster.addressOf("n1"));
    client.send("GET /healthz HTTP/1.1\r\n\r\nGET /v1/models HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(client.waitForText("\"object\":\"list\""));
    EXPECT_LT(client.received().indexOf("\"ok\":true"), client.received().indexOf("\"object\":\"list\""));
}

TEST_F(CallerLimits, CancelsTheWorkOfADisconnectedCaller)
{
    start();
    RawClient client(cluster.addressOf("n1"));
    client.send(post("/v1/completions", R"({"model":"m","prompt":"p","max_tokens":100000,"stream":true})"));
    ASSERT_TRUE(client.waitForText("finish_reason"));
    client.resetConnection();
    auto isCancelled = [&] {
        return !cluster.effects("a1-1", "run_cancelled").empty() || !cluster.effects("a1-2", "run_cancelled").empty();
    };
    EXPECT_TRUE(waitUntil(isCancelled));
    EXPECT_TRUE(isUp());
}

TEST_F(CallerLimits, DisconnectsASlowReaderAtTheReplyLimit)
{
    start("[limits]\nreply_buffer_bytes = 4096\n");
    RawClient client(cluster.addressOf("n1"));
    client.socket().setReadBufferSize(1);
    client.socket().setSocketOption(QAbstractSocket::ReceiveBufferSizeSocketOption, 4096);
    for (const char* engine : { "a1-1", "a1-2" })
        cluster.setFaults(engine, { { "token_ms", 1 } });
    client.send(post("/v1/completions", R"({"model":"m","prompt":"p","max_tokens":100000,"stream":true})"));
    EXPECT_TRUE(waitUntil([&] { return cluster.logOf("n1").contains("event=slow_reader_cut"); }));
    EXPECT_TRUE(isUp());
}

TEST_F(CallerLimits, RefusesBadCompletionRequests)
{
    start();
    EXPECT_EQ(completionStatus("{"), 400);
    EXPECT_EQ(completionStatus("[]"), 400);
    EXPECT_EQ(completionStatus(""), 400);
    EXPECT_EQ(completionStatus(QByteArray(100000, '[')), 400);
    EXPECT_EQ(completionStatus(R"({"model":"m","prompt":)" + QByteArray(100000, '[') + "}"), 400);
    EXPECT_EQ(completionStatus(R"({"model":"nobody","prompt":"p"})"), 404);
    EXPECT_EQ(completionStatus(R"({"model":7,"prompt":"p"})"), 400);
    EXPECT_EQ(completionStatus(R"({"model":"m"})"), 400);
    EXPECT_EQ(completionStatus(R"({"model":"m","prompt":7})"), 400);
    EXPECT_EQ(completionStatus(R"({"model":"m","prompt":"p","stream":"yes"})"), 400);
    EXPECT_EQ(completionStatus(R"({"model":"m","prompt":"p","seed":"x"})"), 400);
    for (const char* tokens : { "null", "1.5", "1e300", "-1", "0", "\"9\"", "[]", "4294967297" })
        EXPECT_EQ(completionStatus("{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":" + QByteArray(tokens) + "}"), 400) << tokens;
    EXPECT_EQ(refusalOf(post("/v1/chat/completions", R"({"model":"m","messages":"p"})")), 400);
    EXPECT_TRUE(cluster.effects("a1-1", "run_started").empty());
    EXPECT_TRUE(cluster.effects("a1-2", "run_started").empty());
}

TEST_F(CallerLimits, RefusesUnknownMethodsPathsAndCallers)
{
    start();
    EXPECT_EQ(refusalOf("POST /v1/completions HTTP/1.1\r\nAuthorization: Bearer stranger\r\nContent-Length: 2\r\n\r\n{}"), 401);
    EXPECT_EQ(refusalOf("GET /v1/completions HTTP/1.1\r\n" + authorization + "\r\n"), 405);
    EXPECT_EQ(refusalOf("BREW /v1/completions HTTP/1.1\r\n" + authorization + "\r\n"), 501);
    EXPECT_EQ(refusalOf(post("/nowhere", "{}")), 404);
    EXPECT_EQ(refusalOf(post("/healthz", "{}")), 405);
    RawClient head(cluster.addressOf("n1"));
    head.send("HEAD /healthz HTTP/1.1\r\n\r\nGET /healthz HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(head.waitForText("{\"ok\":true}"));
    EXPECT_EQ(head.received().count("{\"ok\":true}"), 1) << "the answer to HEAD has a body";
}

TEST_F(CallerLimits, LimitsTheRequestsOfOneCaller)
{
    start("[limits]\nmax_requests_per_caller = 2\n");
    const PendingAnswer first = cluster.startCompletion("n1", { .maxTokens = 100000, .stream = true });
    const PendingAnswer second = cluster.startCompletion("n1", { .maxTokens = 100000, .stream = true });
    ASSERT_TRUE(waitUntil([&] { return !first.received->isEmpty() && !second.received->isEmpty(); }));
    RawClient third(cluster.addressOf("n1"));
    third.send(post("/v1/completions", R"({"model":"m","prompt":"p"})"));
    EXPECT_EQ(third.waitForStatus(), 429);
    EXPECT_TRUE(third.waitForText("\"outcome\":\"not_run\""));
    EXPECT_TRUE(third.received().toLower().contains("retry-after: "));
    first.call->cancel();
    EXPECT_TRUE(waitUntil([&] { return cluster.requestCompletion("n1", { .maxTokens = 1 }).status == 200; })) << "a cancelled request still counts";
    second.call->cancel();
}

TEST_F(CallerLimits, RequiresTheOperatorKeyOnOperatorPaths)
{
    start();
    EXPECT_EQ(refusalOf("GET /operator/status HTTP/1.1\r\n\r\n"), 401);
    EXPECT_EQ(refusalOf("GET /operator/status HTTP/1.1\r\n" + authorization + "\r\n"), 401);
    EXPECT_EQ(refusalOf("GET /operator/explain?request=x HTTP/1.1\r\n\r\n"), 401);
    for (const char* path : { "/healthz", "/readyz", "/metrics" })
        EXPECT_EQ(cluster.call("GET", cluster.urlOf("n1") + path).status, 200) << path;
    EXPECT_EQ(cluster.status("n1")["node"].toString(), "n1");
    EXPECT_FALSE(cluster.logOf("n1").contains(operatorKey));
    EXPECT_FALSE(cluster.logOf("n1").contains("caller-key"));
}

TEST_F(CallerLimits, IgnoresForeignAndTruncatedDatagrams)
{
    start();
    const std::string endpoint = cluster.addressOf("n1.peers");
    const auto colon = endpoint.rfind(':');
    const QHostAddress address(QString::fromStdString(endpoint.substr(0, colon)));
    const auto port = static_cast<quint16>(std::stoi(endpoint.substr(colon + 1)));
    const Sender sender { .node = "n9", .incarnation = 1, .sequence = 1 };
    const Digest digest { .records = { { .node = "n9", .incarnation = 1, .beat = 1, .heartbeat = { .domain = "a", .peerEndpoint = endpoint } } }, .beats = {} };
    const QByteArray forged = sealMessage(digest, sender, "another cluster's key");
    const QByteArray own = sealMessage(digest, sender, "a key for tests only");
    QUdpSocket socket;
    for (const QByteArray& bytes : { QByteArray(), QByteArray("x"), QByteArray(9000, 'x'), forged, own.left(own.size() / 2) })
        socket.writeDatagram(bytes, address, port);
    // All five datagrams are counted as refused, and the node keeps running.
    EXPECT_TRUE(waitUntil([&] {
        const QByteArray metrics = cluster.call("GET", cluster.urlOf("n1") + "/metrics").body;
        return metrics.contains("\nhemlockweir_peer_datagrams_refused_total 5\n");
    }));
    EXPECT_TRUE(cluster.status("n1")["peers"].toArray().isEmpty());
    EXPECT_EQ(cluster.requestCompletion("n1", {}).status, 200);
}

} // namespace hemlockweir
