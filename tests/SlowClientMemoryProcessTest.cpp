// Tests clients that keep a process busy by being slow: they send a byte just before each timeout, or never read a long answer. The
// process must live, stay within its memory and descriptors, and answer an ordinary request meanwhile.

#include "support/CallerMemory.h"

namespace hemlockweir {

namespace {

    // The crowds are fixed: a change of the product must not change them.
    constexpr size_t slowClients = 120; // more than the process may have connections
    constexpr size_t unreadClients = 40;
    constexpr int answerBytes = 4 * mebibyte;
    constexpr int rounds = 3;
    constexpr int timeoutMs = 1000;
    constexpr Millis pause { 700 }; // between two bytes of a client

    // What a slow client sends at first, and then a byte again and again.
    struct SlowKind {
        const char* name;
        QByteArray (*start)(const QByteArray& path);
    };

    std::ostream& operator<<(std::ostream& out, const SlowKind& kind) { return out << kind.name; }

    const std::vector<SlowKind> kinds {
        { "Head", [](const QByteArray& path) { return "GET " + path + " HTTP/1.1\r\nX-Slow: "; } },
        { "Body", [](const QByteArray& path) { return "POST " + path + " HTTP/1.1\r\nHost: soak.test\r\nAuthorization: Bearer caller-key\r\nContent-Length: 1000\r\n\r\n"; } },
        { "Chunk", [](const QByteArray& path) { return "POST " + path + " HTTP/1.1\r\nHost: soak.test\r\nAuthorization: Bearer caller-key\r\nTransfer-Encoding: chunked\r\n\r\n3e8\r\n"; } },
    };

} // namespace

// Base: GatewayCallerMemory or NodeWithFewDescriptors.
template <typename Base>
class SlowClients : public Base {
protected:
    // Sends the start from all clients, and then a byte at a time. Clients whose connection has ended connect again.
    void sendSlowly(const std::string& endpoint, const QByteArray& start)
    {
        this->sendFromAll(slowClients, endpoint, start);
        for (int round = 0; round < rounds; ++round) {
            waitUntil([] { return false; }, pause);
            for (std::unique_ptr<RawClient>& caller : this->callers_) {
                if (caller->socket().state() == QAbstractSocket::ConnectedState) {
                    caller->send("x");
                    continue;
                }
                caller = std::make_unique<RawClient>(endpoint);
                if (this->isTls_)
                    caller->startTls();
                caller->send(start);
            }
            EXPECT_TRUE(waitUntil([this] { return this->isOrdinaryRequestAnswered(); })) << "round " << round;
        }
        this->expectBoundsAndService();
    }
};

class SlowGatewayClients : public SlowClients<GatewayCallerMemory>, public testing::WithParamInterface<std::tuple<GatewayAddress, SlowKind>> { };

TEST_P(SlowGatewayClients, SendAByteBeforeEachTimeout)
{
    const auto& [address, kind] = GetParam();
    setTimeouts(timeoutMs, timeoutMs);
    sendSlowly(cluster_.addressOf(address.name), kind.start(address.path));
}

INSTANTIATE_TEST_SUITE_P(All, SlowGatewayClients, testing::Combine(testing::ValuesIn(gatewayAddresses()), testing::ValuesIn(kinds)),
    [](const auto& test) { return std::string(std::get<0>(test.param).name) + "_" + std::get<1>(test.param).name; });

class SlowNodeClients : public SlowClients<NodeWithFewDescriptors>, public testing::WithParamInterface<std::tuple<bool, SlowKind>> { };

TEST_P(SlowNodeClients, SendAByteBeforeEachTimeout)
{
    const auto& [isTls, kind] = GetParam();
    startServer(isTls, "request_timeout_ms = " + std::to_string(timeoutMs) + "\nidle_timeout_ms = " + std::to_string(timeoutMs) + "\n");
    sendSlowly(cluster_.addressOf("n1"), kind.start("/orders"));
}

INSTANTIATE_TEST_SUITE_P(All, SlowNodeClients, testing::Combine(testing::Bool(), testing::ValuesIn(kinds)),
    [](const auto& test) { return std::string(std::get<0>(test.param) ? "tls" : "plain") + "_" + std::get<1>(test.param).name; });

// Guards against answers that are collected for callers who don't read them.
TEST_F(GatewayCallerMemory, LongAnswersThatAreNotRead)
{
    disableTimeouts();
    cluster_.setFaults("desk", { { "answer_bytes", answerBytes } });
    sendFromAll(unreadClients, cluster_.addressOf("g"), "GET /x HTTP/1.1\r\nHost: soak.test\r\n\r\n", false);
    expectBounds();
    cluster_.setFaults("desk", { { "answer_bytes", 0 } });
    expectBoundsAndService();
}

} // namespace hemlockweir
