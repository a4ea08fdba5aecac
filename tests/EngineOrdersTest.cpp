#include "gateway/EngineOrders.h"
#include "support/ScriptedEndpoint.h"

#include <gtest/gtest.h>

// Tests the orders of a planner whose term ends while they are on their way.

using namespace hemlockweir;

namespace {

class EngineOrdersTest : public testing::Test {
protected:
    EngineOrdersTest()
    {
        adapter_.formatOrder = [](const EngineOrder&) { return std::string("POST /order HTTP/1.1\r\nHost: e\r\nContent-Length: 0\r\n\r\n"); };
        adapter_.readOrderResult = [](int) { return OrderResult::Done; };
        engine_.setScript([](int) { return ScriptedResponse { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" }; });
    }

    EngineOrder order() const { return { .kind = EngineOrderKind::Join, .engine = "e1", .address = "127.0.0.1", .port = engine_.port(), .group = "g1", .epoch = 1 }; }

    boost::asio::io_context context_;
    ScriptedEndpoint engine_ { context_ };
    Clock clock_ = makeSteadyClock();
    DecisionLog log_ { { .clock = clock_, .descriptor = -1 } };
    ProxyMetrics metrics_;
    PlatformAdapter adapter_;
    bool isPlanner_ = true;
    std::vector<OrderResult> results_;
    EngineOrders orders_ { context_, { .clock = clock_, .mayOrder = [this] { return isPlanner_; }, .onResult = [this](const EngineOrder&, OrderResult result) { results_.push_back(result); } }, adapter_, log_, metrics_ };
};

TEST_F(EngineOrdersTest, OrderOfThePlannerIsSent)
{
    orders_.send(order());
    runUntil(context_, [this] { return !results_.empty(); });
    EXPECT_EQ(results_, std::vector<OrderResult> { OrderResult::Done });
    EXPECT_EQ(engine_.requests().size(), 1U);
}

// The process is paused while it connects to the engine. When it goes on, its lease has expired and another node plans:
// the order must not be written to the connection that is established by now.
TEST_F(EngineOrdersTest, OrderIsWithheldIfTheTermEndsWhileConnecting)
{
    orders_.send(order());
    isPlanner_ = false;
    runUntil(context_, [this] { return !results_.empty(); });
    EXPECT_EQ(results_, std::vector<OrderResult> { OrderResult::Unsent });
    EXPECT_TRUE(engine_.requests().empty());
}

} // namespace
