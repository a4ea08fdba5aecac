#include "http/HttpCall.h"
#include "support/ScriptedEndpoint.h"

#include <gtest/gtest.h>

// Tests of single calls to a server on one event loop.

using namespace hemlockweir;

namespace {

const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

class HttpCallTest : public testing::Test {
protected:
    HttpCallOptions options() const { return { .address = "127.0.0.1", .port = server_->port(), .request = request }; }

    std::unique_ptr<boost::asio::io_context> context_ = std::make_unique<boost::asio::io_context>();
    std::unique_ptr<ScriptedEndpoint> server_ = std::make_unique<ScriptedEndpoint>(*context_);
    std::unique_ptr<ConnectionPool> pool_ = std::make_unique<ConnectionPool>(*context_, ConnectionPool::Options { .clock = makeSteadyClock() });
};

// A server in trouble may send a body without end. The call collects it in memory.
TEST_F(HttpCallTest, EndlessBodyIsCut)
{
    constexpr size_t limit = 64 * 1024;
    constexpr size_t buffered = 8 * 1024 * 1024; // by the sockets of both sides
    server_->setScript([](int) { return ScriptedResponse { "HTTP/1.1 200 OK\r\n\r\n", Ending::Flood, std::string(4096, 'x') }; });
    HttpCallOptions bounded = options();
    bounded.timeout = Millis(60000);
    bounded.maxBodyBytes = limit;
    std::optional<absl::Status> result;
    callServer(*context_, *pool_, bounded, [&](const absl::StatusOr<CallAnswer>& answer) { result = answer.status(); });
    runUntil(*context_, [&] { return result && server_->peerCloses() == 1; });
    EXPECT_EQ(result->code(), absl::StatusCode::kUnknown);
    EXPECT_LE(server_->floodedBytes(), limit + buffered);
}

TEST_F(HttpCallTest, BodyOfTheAllowedSizeIsComplete)
{
    server_->setScript([](int) { return ScriptedResponse { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole" }; });
    HttpCallOptions bounded = options();
    bounded.maxBodyBytes = 5;
    std::string body;
    callServer(*context_, *pool_, bounded, [&](const absl::StatusOr<CallAnswer>& answer) { body = answer.ok() ? answer->body : answer.status().ToString(); });
    runUntil(*context_, [&] { return !body.empty(); });
    EXPECT_EQ(body, "whole");
}

// Found by the leak sanitizer: a call and its connection owned each other, so a call that was in progress at the end of
// the event loop was never released.
TEST_F(HttpCallTest, CallInProgressIsReleasedWithTheEventLoop)
{
    server_->setScript([](int) { return ScriptedResponse { .bytes = "", .ending = Ending::Hold }; });
    const auto token = std::make_shared<int>();
    callServer(*context_, *pool_, options(), [token](const absl::StatusOr<CallAnswer>&) {});
    runUntil(*context_, [&] { return !server_->requests().empty(); });
    EXPECT_GT(token.use_count(), 1);
    pool_.reset();
    server_.reset();
    context_.reset();
    EXPECT_EQ(token.use_count(), 1);
}

} // namespace
