// Tests that a gateway that shuts down interrupts no request that it has taken since, with real processes: whatever
// arrives late is answered completely or refused at once.

#include "http/ClientConnection.h"
#include "http/StatusCodes.h"
#include "support/GatewayCluster.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <utility>

namespace hemlockweir {

static constexpr int tokensPerEvent = 5; // of the engines' stand-ins
// A stream of this many events takes longer than the gateway exists after the last connections are accepted: 5.2 s at an
// event each 20 ms.
static constexpr int longStreamEvents = 260;
// The timeout of the routes, less the time that an answer needs to arrive. It ends a stream of a slow stand-in.
static constexpr Millis routeTimeout { 5900 };
static constexpr int shortStreamEvents = 10;
static constexpr int usualStreamEvents = 60; // 1.2 s
static constexpr int warmUps = 8;
static constexpr int slowFactor = 6; // of an engine that has become slow
// The balancer may send new connections for this time after SIGTERM, in ms.
static constexpr int lastSendMs = 3400;
static constexpr int sendIntervalMs = 200;
// A refused caller may be sent back to the node until then, so a request that is expected to end in time is served.
static constexpr Millis servedUntil { 2300 };
// Deadlines: one that no request of these tests meets, and one that is over before the node exits, whenever it is sent.
static constexpr Millis noDeadline { 60000 };
static constexpr Millis earlyDeadline { 3500 };

namespace {

    // A stream and what its caller received.
    struct Stream {
        std::string id;
        std::shared_ptr<ClientConnection> connection;
        Millis sentAt { 0 }; // after SIGTERM
        int events = 0;
        Millis deadline { 0 };
        std::optional<ResponseHead> head;
        std::string received;
        std::optional<ExchangeEnd> end;
        Millis lasted { 0 };

        bool isWhole() const { return end == ExchangeEnd::Complete && head->status == statusOk && received.find(absl::StrCat("id: ", events, "\n")) != std::string::npos; }
        bool isRefused() const { return end == ExchangeEnd::Complete && head->status == statusUnavailable && findHeader(head->headers, "Retry-After"); }
    };

    class GatewayShutdown : public testing::Test {
    protected:
        // Each model has a route of its own.
        std::shared_ptr<Stream> send(const std::string& model, int events, Millis sentAt, Millis deadline = noDeadline)
        {
            const QString address = QString::fromStdString(cluster_.frontOf(gateway_));
            const auto stream = std::make_shared<Stream>(Stream { .id = absl::StrCat("r", nextId_++), .sentAt = sentAt, .events = events, .deadline = deadline });
            const Millis now = clock_();
            stream->connection = std::make_shared<ClientConnection>(context_, ClientConnection::Options { .address = address.section(':', 0, 0).toStdString(), .port = static_cast<uint16_t>(address.section(':', 1).toInt()), .clock = clock_ });
            stream->connection->exchange(absl::StrCat("POST /", model, "/1 HTTP/1.1\r\nHost: soak.test\r\nX-Request-Id: ", stream->id, "\r\nX-Key: key-1\r\nX-Deadline-Ms: ", deadline.count(), "\r\nX-Model: ", model, "\r\nX-Token-Counts: 100,", events * tokensPerEvent, "\r\nContent-Length: 0\r\n\r\n"),
                {
                    .onHead = [stream](const ResponseHead& head) { stream->head = head; },
                    .onBody = [stream](std::string_view bytes) { stream->received += bytes; },
                    .onEnd =
                        [this, stream, now](ExchangeEnd how) {
                            stream->end = how;
                            stream->lasted = clock_() - now;
                        },
                });
            streams_.push_back(stream);
            return stream;
        }

        bool runUntil(const std::function<bool()>& condition)
        {
            return waitUntil([&] {
                context_.restart();
                context_.poll();
                return condition();
            });
        }

        void awaitEnds()
        {
            EXPECT_TRUE(runUntil([&] { return std::all_of(streams_.begin(), streams_.end(), [](const auto& stream) { return stream->end.has_value(); }); }));
        }

        bool isServed(const std::string& model, int events)
        {
            const auto stream = send(model, events, Millis(0));
            return runUntil([&] { return stream->end.has_value(); }) && stream->isWhole();
        }

        // Lets the gateway serve streams of the usual length, by which it estimates later ones. Returns whether all were whole.
        bool serveUsualStreams()
        {
            if (!runUntil([&] { return isServed("large", shortStreamEvents); }))
                return false;
            streams_.clear();
            for (int i = 0; i < warmUps; ++i)
                send("large", usualStreamEvents, Millis(0));
            awaitEnds();
            const auto served = std::exchange(streams_, {});
            return std::all_of(served.begin(), served.end(), [](const auto& stream) { return stream->isWhole(); });
        }

        bool wasRun(const std::string& id)
        {
            for (const std::string& engine : cluster_.engines()) {
                for (const QJsonObject& run : cluster_.processes().effects(engine, "run")) {
                    if (run["request"].toString().toStdString() == id)
                        return true;
                }
            }
            return false;
        }

        GatewayCluster cluster_;
        const std::string gateway_ = "g1";
        boost::asio::io_context context_;
        Clock clock_ = makeSteadyClock();
        std::vector<std::shared_ptr<Stream>> streams_;
        int nextId_ = 1;
    };

} // namespace

TEST_F(GatewayShutdown, RequestTakenLateIsAnsweredCompletelyOrRefusedAtOnce)
{
    for (int i = 0; i < 8; ++i)
        ASSERT_TRUE(runUntil([&] { return isServed("small", shortStreamEvents); }));
    ASSERT_TRUE(runUntil([&] { return isServed("large", longStreamEvents); }));
    streams_.clear();
    const Millis stoppedAt = clock_();
    cluster_.processes().terminate(gateway_);
    Millis nextAt { 0 };
    while (nextAt < Millis(lastSendMs)) {
        ASSERT_TRUE(runUntil([&] { return clock_() - stoppedAt >= nextAt; }));
        const Millis sentAt = clock_() - stoppedAt;
        send("large", longStreamEvents, sentAt);
        send("small", shortStreamEvents, sentAt);
        send("small", shortStreamEvents, sentAt, earlyDeadline);
        nextAt += Millis(sendIntervalMs);
    }
    awaitEnds();
    for (const auto& stream : streams_) {
        const std::string what = absl::StrCat("request ", stream->id, " of ", stream->events, " events, sent ", stream->sentAt.count(), " ms after SIGTERM");
        // The listener may be closed already if this test was slow.
        if (stream->end == ExchangeEnd::NotConnected || !stream->end)
            continue;
        EXPECT_TRUE(stream->isWhole() || stream->isRefused() || stream->lasted >= routeTimeout) << what << " was interrupted after " << stream->received.size() << " bytes";
        EXPECT_TRUE(!stream->isRefused() || !wasRun(stream->id)) << what << " was refused as not run, but ran";
        // The first long one has more time than its route's timeout.
        const bool isExpectedToEnd = stream->events == shortStreamEvents && stream->sentAt <= servedUntil;
        const bool hasTime = isExpectedToEnd || stream->deadline == earlyDeadline || stream == streams_.front();
        EXPECT_TRUE(!hasTime || stream->isWhole() || stream->lasted >= routeTimeout) << what << " had time to end, but was refused";
    }
}

// Guards against a stream that is cut at the exit because it is longer than all recent ones of its route, whose times decided
// whether it was taken.
TEST_F(GatewayShutdown, LateStreamThatIsLongerThanAnyRecentOneIsRefused)
{
    ASSERT_TRUE(serveUsualStreams());
    const Millis stoppedAt = clock_();
    cluster_.processes().terminate(gateway_);
    ASSERT_TRUE(runUntil([&] { return clock_() - stoppedAt >= servedUntil - Millis(sendIntervalMs); }));
    const auto late = send("large", longStreamEvents, clock_() - stoppedAt);
    const auto usual = send("large", usualStreamEvents, clock_() - stoppedAt);
    awaitEnds();
    EXPECT_TRUE(late->isRefused()) << "was taken and interrupted after " << late->received.size() << " bytes";
    EXPECT_FALSE(wasRun(late->id));
    EXPECT_TRUE(usual->isWhole()) << "had time to end, but was not served";
}

// Guards against a stream that is cut at the exit because recent ones were faster: what was seen lately is no bound.
TEST_F(GatewayShutdown, LateStreamIsNotTakenByThePaceOfRecentOnes)
{
    ASSERT_TRUE(serveUsualStreams());
    for (const std::string& engine : cluster_.engines())
        cluster_.processes().setFaults(engine, { { "slow", slowFactor } });
    const Millis stoppedAt = clock_();
    cluster_.processes().terminate(gateway_);
    ASSERT_TRUE(runUntil([&] { return clock_() - stoppedAt >= Millis(lastSendMs - sendIntervalMs); }));
    const auto late = send("large", usualStreamEvents, clock_() - stoppedAt);
    awaitEnds();
    EXPECT_TRUE(late->isRefused()) << "was taken and interrupted after " << late->received.size() << " bytes";
    EXPECT_FALSE(wasRun(late->id));
}

} // namespace hemlockweir
