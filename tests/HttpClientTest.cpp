// Tests of the HTTP client against misbehaving peers: how often a request arrives, and how the end of the call is
// classified.

#include "http/HttpClient.h"
#include "support/Wait.h"

#include <QTcpServer>
#include <QTcpSocket>
#include <gtest/gtest.h>

namespace hemlockweir {

namespace {

    // A server that counts complete requests and answers each with a function.
    class RawPeer {
    public:
        explicit RawPeer(std::function<void(QTcpSocket&)> onRequest)
            : onRequest_(std::move(onRequest))
        {
            server_.listen(QHostAddress::LocalHost);
            QObject::connect(&server_, &QTcpServer::newConnection, [this] { accept(); });
        }

        QUrl url() const { return QUrl(QStringLiteral("http://127.0.0.1:%1/").arg(server_.serverPort())); }
        int arrivals = 0;

    private:
        void accept()
        {
            while (QTcpSocket* socket = server_.nextPendingConnection()) {
                auto received = std::make_shared<QByteArray>();
                QObject::connect(socket, &QTcpSocket::readyRead, [this, socket, received] {
                    *received += socket->readAll();
                    const bool isWhole = received->contains("\r\n\r\n") && (!received->startsWith("POST") || received->endsWith("body"));
                    if (!isWhole)
                        return;
                    received->clear();
                    ++arrivals;
                    onRequest_(*socket);
                });
            }
        }

        QTcpServer server_;
        std::function<void(QTcpSocket&)> onRequest_;
    };

    CallOptions makeOptions(const QByteArray& method, const QUrl& url)
    {
        return { .method = method, .url = url, .headers = {}, .body = method == "POST" ? "body" : "", .firstByteTimeout = hangLimit, .silenceTimeout = hangLimit };
    }

    CallResult run(const CallOptions& options)
    {
        HttpClient client;
        std::optional<CallResult> ended;
        const auto call = client.start(options, { .onHead = {}, .onData = {}, .onDone = [&](const CallResult& result) { ended = result; } });
        EXPECT_TRUE(waitUntil([&] { return ended.has_value(); }));
        return ended.value_or(CallResult {});
    }

    std::function<void(QTcpSocket&)> answerAndClose(const QByteArray& bytes)
    {
        return [bytes](QTcpSocket& socket) {
            socket.write(bytes);
            socket.disconnectFromHost();
        };
    }

    struct Misbehaviour {
        const char* name;
        std::function<void(QTcpSocket&)> answer;
    };

    std::vector<Misbehaviour> misbehaviours()
    {
        return {
            { "close", answerAndClose("") },
            { "reset", [](QTcpSocket& socket) { socket.abort(); } },
            { "half head", answerAndClose("HTTP/1.1 200 OK\r\nContent-Len") },
            { "cut body", answerAndClose("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc") },
            { "cut chunks", answerAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n") },
            { "cut in a chunk", answerAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc") },
            { "cut error", answerAndClose("HTTP/1.1 503 Busy\r\nContent-Length: 10\r\n\r\nabc") },
            { "cut error chunks", answerAndClose("HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n") },
        };
    }

} // namespace

class HttpClientMethods : public testing::TestWithParam<const char*> { };

TEST_P(HttpClientMethods, ArriveOnceAndEndBrokenWhenTheAnswerIsCut)
{
    for (const Misbehaviour& misbehaviour : misbehaviours()) {
        RawPeer peer(misbehaviour.answer);
        const CallResult result = run(makeOptions(GetParam(), peer.url()));
        EXPECT_EQ(peer.arrivals, 1) << misbehaviour.name;
        EXPECT_EQ(result.end, CallEnd::Broken) << misbehaviour.name << ": " << result.error.toStdString();
    }
}

TEST_P(HttpClientMethods, FollowNoRedirect)
{
    RawPeer peer(answerAndClose("HTTP/1.1 307 Moved\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n"));
    const CallResult result = run(makeOptions(GetParam(), peer.url()));
    EXPECT_EQ(peer.arrivals, 1);
    EXPECT_NE(result.end, CallEnd::NotSent);
    EXPECT_FALSE(result.isSuccess());
}

TEST_P(HttpClientMethods, AreNotSentWhenTheConnectionIsRefused)
{
    QTcpServer closed;
    ASSERT_TRUE(closed.listen(QHostAddress::LocalHost));
    const QUrl url(QStringLiteral("http://127.0.0.1:%1/").arg(closed.serverPort()));
    closed.close();
    EXPECT_EQ(run(makeOptions(GetParam(), url)).end, CallEnd::NotSent);
}

TEST_P(HttpClientMethods, MayHaveBeenSentWhenTheyTimeOut)
{
    RawPeer peer([](QTcpSocket&) {});
    CallOptions options = makeOptions(GetParam(), peer.url());
    options.firstByteTimeout = Millis(200);
    EXPECT_EQ(run(options).end, CallEnd::TimedOut);
}

TEST_P(HttpClientMethods, TimeOutBetweenTheHeadAndTheFirstData)
{
    RawPeer peer([](QTcpSocket& socket) { socket.write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"); });
    CallOptions options = makeOptions(GetParam(), peer.url());
    options.firstByteTimeout = 10 * hangLimit;
    options.silenceTimeout = Millis(50);
    const CallResult result = run(options);
    EXPECT_EQ(result.end, CallEnd::TimedOut);
    EXPECT_EQ(result.status, 200);
}

TEST_P(HttpClientMethods, TimeOutInTheMiddleOfTheData)
{
    RawPeer peer([](QTcpSocket& socket) { socket.write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"); });
    CallOptions options = makeOptions(GetParam(), peer.url());
    options.silenceTimeout = Millis(50);
    EXPECT_EQ(run(options).end, CallEnd::TimedOut);
}

TEST_P(HttpClientMethods, ReturnTheWholeErrorAnswer)
{
    RawPeer peer(answerAndClose("HTTP/1.1 503 Busy\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nbusy"));
    const CallResult result = run(makeOptions(GetParam(), peer.url()));
    EXPECT_EQ(result.end, CallEnd::Answered);
    EXPECT_EQ(result.status, 503);
    EXPECT_EQ(result.body, "busy");
    EXPECT_EQ(result.contentType, "text/plain");
}

INSTANTIATE_TEST_SUITE_P(Calls, HttpClientMethods, testing::Values("POST", "GET", "DELETE"));

TEST(HttpClient, RunsAsManyCallsToOnePeerAsAreStarted)
{
    constexpr int count = 20;
    std::vector<QTcpSocket*> sockets;
    RawPeer peer([&](QTcpSocket& socket) { sockets.push_back(&socket); });
    HttpClient client;
    int done = 0;
    std::vector<std::shared_ptr<HttpCall>> calls;
    calls.reserve(count);
    for (int i = 0; i < count; ++i) {
        calls.push_back(client.start(makeOptions("POST", peer.url()), { .onHead = {}, .onData = {}, .onDone = [&](const CallResult& result) { done += result.isSuccess() ? 1 : 0; } }));
    }
    // No call is answered before all have arrived.
    ASSERT_TRUE(waitUntil([&] { return peer.arrivals == count; }));
    EXPECT_EQ(done, 0);
    for (QTcpSocket* socket : sockets)
        answerAndClose("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")(*socket);
    EXPECT_TRUE(waitUntil([&] { return done == count; }));
}

} // namespace hemlockweir
