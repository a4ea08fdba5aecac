// Tests each kind of client that sends more than the limits allow, or never finishes, on each address that a process opens:
// the process must live, stay within its memory and descriptors, and answer an ordinary request meanwhile. The clients stay
// connected, and no timeout ends what they do.

#include "support/CallerMemory.h"

#include <QUdpSocket>

namespace hemlockweir {

namespace {

    // The crowds are fixed: a change of the product must not change them.
    constexpr size_t endlessClients = 4;
    constexpr qint64 endlessBytes = 8 * mebibyte; // of each client
    constexpr size_t unfinishedClients = 40;
    constexpr int largeChunkBytes = 1000000; // of which the last byte is missing
    constexpr int tinyChunks = 500000; // of one byte each; the last chunk is missing
    constexpr size_t oneByteClients = 300; // more than the process may have descriptors
    constexpr int pipelinedRequests = 2000;
    constexpr int requestsWithNames = 200; // of each client
    constexpr qsizetype pipelinedBytes = 1000000; // of each client
    constexpr qsizetype answersBefore = 20; // which each client has got when the bounds are checked
    constexpr size_t busyClients = 120; // more than the gateway may have connections
    constexpr size_t slowClients = 10;
    constexpr int slowBytes = 500;
    constexpr qint64 refusedBytes = 64 * mebibyte;
    constexpr qint64 refusedBytesRead = 2 * mebibyte; // discard_bytes, and what the kernel holds on both sides
    // The node waits longer for its callers than the test does, so that no timeout ends what they do.
    constexpr const char* noTimeouts = "request_timeout_ms = 3600000\nidle_timeout_ms = 3600000\n";
    constexpr int noiseDatagrams = 3000;
    constexpr qsizetype noiseBytes = 20000;

    // A kind of client. `what` is sent to a path from a number of clients.
    struct ClientKind {
        const char* name;
        size_t clients;
        QByteArray (*bytes)(const QByteArray& path);
        bool readsAnswers = true;
    };

    QByteArray head(const QByteArray& path, const QByteArray& headers)
    {
        return "POST " + path + " HTTP/1.1\r\nHost: soak.test\r\nAuthorization: Bearer caller-key\r\n" + headers + "\r\n";
    }

    QByteArray chunkedHead(const QByteArray& path)
    {
        return head(path, "Transfer-Encoding: chunked\r\n");
    }

    QByteArray lengthHead(const QByteArray& path, qint64 length)
    {
        return head(path, "Content-Length: " + QByteArray::number(length) + "\r\n");
    }

    const std::vector<ClientKind> kinds {
        { "TrailerWithoutEnd", endlessClients, [](const QByteArray& path) { return chunkedHead(path) + "2\r\nhi\r\n0\r\nTrailer: " + QByteArray(endlessBytes, 'x'); } },
        { "TrailerLinesWithoutEnd", endlessClients, [](const QByteArray& path) { return chunkedHead(path) + "2\r\nhi\r\n0\r\n" + QByteArray("X-Trailer: 0123456789012345678901234567890123456789012345678901\r\n").repeated(endlessBytes / 64); } },
        { "LargeChunkStopsShort", unfinishedClients, [](const QByteArray& path) { return chunkedHead(path) + QByteArray::number(largeChunkBytes, 16) + "\r\n" + QByteArray(largeChunkBytes - 1, 'x'); } },
        { "TinyChunksStopShort", unfinishedClients, [](const QByteArray& path) { return chunkedHead(path) + QByteArray("1\r\nx\r\n").repeated(tinyChunks); } },
        { "LengthStopsShort", unfinishedClients, [](const QByteArray& path) { return lengthHead(path, largeChunkBytes) + QByteArray(largeChunkBytes - 1, 'x'); } },
        { "AnnouncedOverTheLimit", endlessClients, [](const QByteArray& path) { return lengthHead(path, endlessBytes) + QByteArray(endlessBytes, 'x'); } },
        { "SentOverTheLimit", endlessClients, [](const QByteArray& path) { return chunkedHead(path) + (QByteArray("10000\r\n") + QByteArray(65536, 'x') + "\r\n").repeated(endlessBytes / 65536); } },
        { "ChunkExtensionWithoutEnd", endlessClients, [](const QByteArray& path) { return chunkedHead(path) + "2;" + QByteArray(endlessBytes, 'x'); } },
        { "HeadWithoutEnd", endlessClients, [](const QByteArray& path) { return "GET " + path + " HTTP/1.1\r\nX-Long: " + QByteArray(endlessBytes, 'x'); } },
        { "OneByte", oneByteClients, [](const QByteArray&) { return QByteArray("G"); } },
        { "AnswersUnread", unfinishedClients, [](const QByteArray& path) { return ("GET " + path + " HTTP/1.1\r\nHost: soak.test\r\n\r\n").repeated(pipelinedRequests); }, false },
    };

    // A head without its end.
    QByteArray slowHead(const QByteArray& path)
    {
        return "GET " + path + " HTTP/1.1\r\nX-Slow: " + QByteArray(slowBytes, 'x');
    }

    std::ostream& operator<<(std::ostream& out, const ClientKind& kind) { return out << kind.name; }

    void sendDatagrams(const std::string& endpoint)
    {
        const auto colon = endpoint.rfind(':');
        const QHostAddress address(QString::fromStdString(endpoint.substr(0, colon)));
        const auto port = static_cast<quint16>(std::stoi(endpoint.substr(colon + 1)));
        QUdpSocket socket;
        for (int i = 0; i < noiseDatagrams; ++i)
            socket.writeDatagram(QByteArray(noiseBytes, static_cast<char>(i)), address, port);
    }

} // namespace

class GatewayCrowd : public GatewayCallerMemory, public testing::WithParamInterface<std::tuple<GatewayAddress, ClientKind>> { };

TEST_P(GatewayCrowd, LeavesTheProcessWithinItsBounds)
{
    const auto& [address, kind] = GetParam();
    disableTimeouts();
    sendFromAll(kind.clients, cluster_.addressOf(address.name), kind.bytes(address.path), kind.readsAnswers);
    expectBoundsAndService();
}

INSTANTIATE_TEST_SUITE_P(All, GatewayCrowd, testing::Combine(testing::ValuesIn(gatewayAddresses()), testing::ValuesIn(kinds)),
    [](const auto& test) { return std::string(std::get<0>(test.param).name) + "_" + std::get<1>(test.param).name; });

// Guards against memory that grows with the number of reads.
TEST_F(GatewayCallerMemory, HeadsThatComeAByteAtATime)
{
    disableTimeouts();
    for (const GatewayAddress& address : gatewayAddresses())
        sendByteByByte(slowClients, cluster_.addressOf(address.name), slowHead(address.path));
    expectBoundsAndService();
}

class GatewayPipelining : public GatewayCallerMemory {
protected:
    // Sends requests without end on new connections, and waits until some on each are answered.
    void sendPipelined(size_t clients)
    {
        const QByteArray request = "GET /x HTTP/1.1\r\nHost: soak.test\r\n\r\n";
        for (size_t i = 0; i < clients; ++i) {
            callers_.push_back(std::make_unique<RawClient>(cluster_.addressOf("g")));
            callers_.back()->send(request.repeated(pipelinedBytes / request.size()));
        }
        const auto isAnswered = [](const auto& caller) { return caller->received().count("HTTP/1.1 ") >= answersBefore || caller->socket().state() == QAbstractSocket::UnconnectedState; };
        EXPECT_TRUE(waitUntil([&] { return std::all_of(callers_.begin(), callers_.end(), isAnswered); }));
    }
};

// Guards against requests that pile up behind the one that is being answered.
TEST_F(GatewayPipelining, RequestsWithoutEnd)
{
    sendPipelined(unfinishedClients);
    expectBoundsAndService();
}

// Guards against clients that keep all connections, since each always has a request at work.
TEST_F(GatewayPipelining, MoreClientsThanConnections)
{
    sendPipelined(busyClients);
    expectBoundsAndService();
}

// Returns what each client sends: requests with names that no other request has, a key, a host, a path and ids.
static std::vector<QByteArray> makeRequestsWithNames(size_t clients)
{
    std::vector<QByteArray> requests(clients);
    for (size_t i = 0; i < clients * requestsWithNames; ++i) {
        const QByteArray name = QByteArray::number(i);
        const QByteArray host = i / clients % 2 == 0 ? "soak.test" : name + ".test";
        requests[i % clients] += "POST /x/" + name + " HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Bearer key-" + name + "\r\nX-Request-Id: id-" + name + "\r\nIdempotency-Key: order-" + name + "\r\nX-Model: model-" + name + "\r\nContent-Length: 2\r\n\r\n{}";
    }
    return requests;
}

// Guards against memory that grows with what callers name.
TEST_F(GatewayCallerMemory, NamesThatNoOtherRequestHas)
{
    sendFromEach(cluster_.addressOf("g"), makeRequestsWithNames(slowClients));
    expectBoundsAndService();
}

// A refused body is not read on, which would take the processor and the link from others.
TEST_F(GatewayCallerMemory, RefusedBodiesAreNotReadToTheirEnd)
{
    for (const GatewayAddress& address : gatewayAddresses())
        EXPECT_LT(sendRefusedBody(cluster_.addressOf(address.name), lengthHead(address.path, refusedBytes), refusedBytes), refusedBytesRead) << address.name;
    expectBoundsAndService();
}

TEST_F(GatewayCallerMemory, DatagramsFromStrangers)
{
    sendDatagrams(cluster_.addressOf("peers"));
    expectBoundsAndService();
}

class NodeCrowd : public NodeWithFewDescriptors, public testing::WithParamInterface<std::tuple<bool, ClientKind>> { };

TEST_P(NodeCrowd, LeavesTheProcessWithinItsBounds)
{
    const auto& [isTls, kind] = GetParam();
    startServer(isTls, noTimeouts);
    sendFromAll(kind.clients, cluster_.addressOf("n1"), kind.bytes("/metrics"), kind.readsAnswers);
    expectBoundsAndService();
}

INSTANTIATE_TEST_SUITE_P(All, NodeCrowd, testing::Combine(testing::Bool(), testing::ValuesIn(kinds)),
    [](const auto& test) { return std::string(std::get<0>(test.param) ? "tls" : "plain") + "_" + std::get<1>(test.param).name; });

TEST_F(NodeWithFewDescriptors, HeadsThatComeAByteAtATime)
{
    startServer(false, noTimeouts);
    sendByteByByte(slowClients, cluster_.addressOf("n1"), slowHead("/orders"));
    expectBoundsAndService();
}

TEST_F(NodeWithFewDescriptors, HeadsThatComeAByteAtATimeOverTls)
{
    startServer(true, noTimeouts);
    sendByteByByte(slowClients, cluster_.addressOf("n1"), slowHead("/orders"));
    expectBoundsAndService();
}

TEST_F(NodeWithFewDescriptors, RefusedBodiesAreNotReadToTheirEnd)
{
    startServer(false, noTimeouts);
    EXPECT_LT(sendRefusedBody(cluster_.addressOf("n1"), lengthHead("/orders", refusedBytes), refusedBytes), refusedBytesRead);
    expectBoundsAndService();
}

TEST_F(NodeWithFewDescriptors, NamesThatNoOtherRequestHas)
{
    startServer(false, noTimeouts);
    sendFromEach(cluster_.addressOf("n1"), makeRequestsWithNames(slowClients));
    expectBoundsAndService();
}

// The address of other nodes takes frames with their length in front, and datagrams.
TEST_F(NodeWithFewDescriptors, UnfinishedFramesAtTheAddressOfOtherNodes)
{
    startServer(false, noTimeouts);
    const QByteArray length("\x00\x01\x00\x00", 4);
    const std::string endpoint = cluster_.addressOf("n1.peers");
    sendFromAll(unfinishedClients, endpoint, length + QByteArray(0xffff, 'x'));
    sendFromAll(endlessClients, endpoint, QByteArray(endlessBytes, 'x'));
    sendFromAll(oneByteClients, endpoint, "G");
    expectBoundsAndService();
}

TEST_F(NodeWithFewDescriptors, DatagramsFromStrangers)
{
    startServer(false, noTimeouts);
    sendDatagrams(cluster_.addressOf("n1.peers"));
    expectBoundsAndService();
}

} // namespace hemlockweir
