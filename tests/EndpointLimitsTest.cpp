#include "proxy/EndpointLimits.h"

#include <gtest/gtest.h>
#include <limits>
#include <memory>
#include <random>
#include <rapidcheck/gtest.h>

// Tests of the request limits that endpoints name in their answers, and of how nodes share them.

using namespace hemlockweir;

namespace {

constexpr uint32_t endpoint = 7;
constexpr int64_t incarnation = 1;
// A limited endpoint must get no more in this time than 1.5 times what its limit allows, and 5 requests.
constexpr double windowSeconds = 4;
constexpr double allowedFactor = 1.5;
constexpr double allowedExtra = 5;

class EndpointLimitsTest : public testing::Test {
protected:
    // Sends as many requests as are allowed, and returns how many.
    int sendAll(EndpointLimits& limits)
    {
        int sent = 0;
        for (; limits.allowance(endpoint, incarnation) >= 1; ++sent)
            limits.noteSent(endpoint);
        return sent;
    }

    Millis now_ { 100000 };
    EndpointLimits limits_ { { .clock = [this] { return now_; }, .node = "a" } };
};

TEST_F(EndpointLimitsTest, EndpointWithoutALimitIsUnlimited)
{
    EXPECT_EQ(limits_.allowance(endpoint, incarnation), EndpointLimits::unlimited);
    EXPECT_FALSE(limits_.noteAnswer(endpoint, incarnation, std::nullopt, now_));
    EXPECT_EQ(limits_.allowance(endpoint, incarnation), EndpointLimits::unlimited);
}

TEST_F(EndpointLimitsTest, RequestsFollowTheRate)
{
    EXPECT_TRUE(limits_.noteAnswer(endpoint, incarnation, 4.0, now_));
    EXPECT_FALSE(limits_.noteAnswer(endpoint, incarnation, 4.0, now_));
    EXPECT_EQ(sendAll(limits_), 0);
    int sent = 0;
    for (int i = 0; i < 500; ++i) {
        now_ += Millis(20);
        sent += sendAll(limits_);
    }
    EXPECT_NEAR(sent, 40, 1);
}

TEST_F(EndpointLimitsTest, UnusedRequestsDoNotAddUp)
{
    limits_.noteAnswer(endpoint, incarnation, 4.0, now_);
    now_ += Millis(60000);
    EXPECT_EQ(sendAll(limits_), 1);
}

// An answer that was on its way when the endpoint named its limit does not end it.
TEST_F(EndpointLimitsTest, OnlyAnAnswerToALaterRequestEndsTheLimit)
{
    const Millis before = now_;
    now_ += Millis(500);
    limits_.noteAnswer(endpoint, incarnation, 4.0, before);
    EXPECT_FALSE(limits_.noteAnswer(endpoint, incarnation, std::nullopt, before));
    EXPECT_EQ(limits_.allowance(endpoint, incarnation), 0);
    now_ += Millis(500);
    EXPECT_TRUE(limits_.noteAnswer(endpoint, incarnation, std::nullopt, now_ - Millis(1)));
    EXPECT_EQ(limits_.allowance(endpoint, incarnation), EndpointLimits::unlimited);
}

TEST_F(EndpointLimitsTest, LimitBelongsToTheIncarnation)
{
    limits_.noteAnswer(endpoint, incarnation, 4.0, now_);
    EXPECT_EQ(limits_.allowance(endpoint, incarnation + 1), EndpointLimits::unlimited);
}

// Without a request now and then, nobody would learn that the limit has ended.
TEST_F(EndpointLimitsTest, LimitOfZeroStillGetsARequestNowAndThen)
{
    limits_.noteAnswer(endpoint, incarnation, 0.0, now_);
    int sent = 0;
    for (int i = 0; i < 1000; ++i) {
        now_ += Millis(20);
        sent += sendAll(limits_);
    }
    EXPECT_GE(sent, 3);
    EXPECT_LE(sent, 5);
}

TEST_F(EndpointLimitsTest, RequestsOfOtherNodesUseTheSameRate)
{
    limits_.setPeers({ "b" });
    limits_.applyReports("b", {});
    limits_.noteAnswer(endpoint, incarnation, 4.0, now_);
    now_ += Millis(250);
    limits_.applyReports("b", { { .target = endpoint, .startedAtMs = incarnation, .perSecond = 4, .sent = 1 } });
    EXPECT_NEAR(limits_.allowance(endpoint, incarnation), 0, 1e-6);
    now_ += Millis(250);
    limits_.applyReports("b", { { .target = endpoint, .startedAtMs = incarnation, .perSecond = 4, .sent = 1 } });
    EXPECT_NEAR(limits_.allowance(endpoint, incarnation), 1, 1e-6) << "the same count was subtracted twice";
}

// A node that got no answer of the endpoint yet must not send to it at will.
TEST_F(EndpointLimitsTest, LimitIsLearntFromAnotherNode)
{
    limits_.setPeers({ "b" });
    limits_.applyReports("b", { { .target = endpoint, .startedAtMs = incarnation, .perSecond = 4, .sent = 2 } });
    EXPECT_LT(limits_.allowance(endpoint, incarnation), 1);
    EXPECT_TRUE(limits_.takeReports().empty()) << "only what a node knows itself is told";
    now_ += Millis(500);
    limits_.applyReports("b", { { .target = endpoint, .startedAtMs = incarnation, .perSecond = 0, .age = Millis(10), .sent = 2 } });
    EXPECT_EQ(limits_.allowance(endpoint, incarnation), EndpointLimits::unlimited);
}

TEST_F(EndpointLimitsTest, OlderReportOfTheEndDoesNotEndTheLimit)
{
    limits_.setPeers({ "b" });
    limits_.noteAnswer(endpoint, incarnation, 4.0, now_);
    now_ += Millis(100);
    limits_.applyReports("b", { { .target = endpoint, .startedAtMs = incarnation, .perSecond = 0, .age = Millis(200) } });
    EXPECT_LT(limits_.allowance(endpoint, incarnation), 1);
}

// Two nodes that can't reach each other send half of the rate each.
TEST_F(EndpointLimitsTest, PartOfASilentNodeIsNotUsed)
{
    limits_.setPeers({ "b" });
    limits_.noteAnswer(endpoint, incarnation, 4.0, now_);
    int sent = 0;
    for (int i = 0; i < 500; ++i) {
        now_ += Millis(20);
        sent += sendAll(limits_);
    }
    EXPECT_NEAR(sent, 20, 1);
}

TEST_F(EndpointLimitsTest, OnlyAFewNodesUseALimitedEndpoint)
{
    std::vector<std::string> nodes;
    nodes.reserve(30);
    for (int i = 0; i < 30; ++i)
        nodes.push_back("n" + std::to_string(i));
    size_t sharers = 0;
    for (const std::string& node : nodes) {
        EndpointLimits limits({ .clock = [this] { return now_; }, .node = node, .maxSharers = 5 });
        limits.setPeers(nodes);
        limits.noteAnswer(endpoint, incarnation, 100.0, now_);
        now_ += Millis(1000);
        sharers += limits.allowance(endpoint, incarnation) >= 1 ? 1 : 0;
    }
    EXPECT_EQ(sharers, 5U);
}

// After an outage of the store all nodes were missing from its list for a moment, and each took the whole rate.
TEST_F(EndpointLimitsTest, NodeThatIsNotListedKeepsItsPartForAWhile)
{
    limits_.setPeers({ "b", "c", "d" });
    limits_.noteAnswer(endpoint, incarnation, 4.0, now_);
    int sent = 0;
    for (int i = 0; i < 400; ++i) {
        now_ += Millis(20);
        limits_.setPeers({});
        sent += sendAll(limits_);
    }
    EXPECT_NEAR(sent, 8, 1);
    now_ += Millis(10000);
    limits_.setPeers({});
    sendAll(limits_);
    now_ += Millis(250);
    EXPECT_EQ(sendAll(limits_), 1) << "they are gone";
}

// A node with a single request told nobody of the limit, and the others sent at will.
TEST_F(EndpointLimitsTest, FirstAnswerIsToldToTheOtherNodes)
{
    limits_.noteAnswer(endpoint, incarnation, 4.0, now_);
    ASSERT_EQ(limits_.takeReports().size(), 1U);
    EXPECT_EQ(limits_.takeReports().front().perSecond, 4);
}

// The list shows the earlier incarnation for a while after a restart under the same id.
TEST_F(EndpointLimitsTest, LateAnswerOfAnEarlierIncarnationChangesNothing)
{
    limits_.noteAnswer(endpoint, incarnation + 1, 4.0, now_);
    EXPECT_FALSE(limits_.noteAnswer(endpoint, incarnation, std::nullopt, now_ + Millis(1)));
    EXPECT_FALSE(limits_.noteAnswer(endpoint, incarnation, 100.0, now_ + Millis(1)));
    EXPECT_LT(limits_.allowance(endpoint, incarnation + 1), 1);
    EXPECT_LT(limits_.allowance(endpoint, incarnation), 1) << "requests reach the new one";
}

TEST_F(EndpointLimitsTest, EndedLimitIsToldAndForgotten)
{
    limits_.noteAnswer(endpoint, incarnation, 4.0, now_);
    now_ += Millis(500);
    limits_.noteAnswer(endpoint, incarnation, std::nullopt, now_);
    const std::vector<LimitReport> reports = limits_.takeReports();
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_EQ(reports.front().perSecond, 0);
    now_ += Millis(20000);
    limits_.sweep([](uint32_t) { return true; });
    EXPECT_TRUE(limits_.isEmpty());
}

// An engine that leaves the list for a moment, as when its replica is formed anew, still has its limit afterwards.
TEST_F(EndpointLimitsTest, LimitOfAnUnlistedEndpointIsKeptForAWhile)
{
    limits_.noteAnswer(endpoint, incarnation, 4.0, now_);
    limits_.sweep([](uint32_t) { return false; });
    EXPECT_FALSE(limits_.isEmpty());
    now_ += Millis(70000);
    limits_.sweep([](uint32_t) { return false; });
    EXPECT_TRUE(limits_.isEmpty());
}

TEST(RequestLimit, IsADecimalNumber)
{
    EXPECT_EQ(parseRequestLimit("3.2"), 3.2);
    EXPECT_EQ(parseRequestLimit("0"), 0);
    for (const std::string text : { "", "-1", "many", "nan", "inf", "3.2/s" })
        EXPECT_EQ(parseRequestLimit(text), std::nullopt) << text;
}

// Nodes with more requests than the endpoint allows, which hear of each other late or not at all.
class LimitedFleet {
public:
    struct Options {
        size_t nodes = 4;
        double perSecond = 3.2;
        Millis reportInterval { 80 }; // ms between two messages of a node
        double lostFraction = 0; // of the messages
        size_t cutNodes = 0; // nodes that neither hear nor are heard
    };

    LimitedFleet(const Options& options, uint64_t seed)
        : options_(options)
        , random_(seed)
    {
        std::vector<std::string> names;
        names.reserve(options_.nodes);
        for (size_t i = 0; i < options_.nodes; ++i)
            names.push_back("n" + std::to_string(i));
        for (const std::string& name : names) {
            nodes_.push_back(std::make_unique<EndpointLimits>(EndpointLimits::Options { .clock = [this] { return now_; }, .node = name }));
            nodes_.back()->setPeers(names);
            nextReport_.emplace_back(random_() % static_cast<uint64_t>(options_.reportInterval.count()));
        }
    }

    // Lets all nodes send whatever they may, and each learn of the limit with its first answer.
    void run(Millis time)
    {
        const Millis end = now_ + time;
        while (now_ < end) {
            now_ += Millis(5);
            deliver();
            for (size_t i = 0; i < nodes_.size(); ++i)
                runNode(i);
        }
    }

    // Returns the most requests within the window.
    size_t mostInWindow() const
    {
        size_t most = 0;
        for (auto from = arrivals_.begin(), to = from; from != arrivals_.end(); ++from) {
            while (to != arrivals_.end() && *to - *from <= Millis(static_cast<int64_t>(windowSeconds * 1000)))
                ++to;
            most = std::max(most, static_cast<size_t>(to - from));
        }
        return most;
    }

    double sentPerSecond() const { return static_cast<double>(arrivals_.size()) / std::chrono::duration<double>(now_).count(); }

private:
    struct Message {
        Millis arrivesAt { 0 };
        size_t from = 0;
        size_t to = 0;
        std::vector<LimitReport> reports;
    };

    bool isCut(size_t node) const { return node < options_.cutNodes; }

    void runNode(size_t i)
    {
        EndpointLimits& node = *nodes_[i];
        if (now_ == Millis(5))
            node.noteAnswer(endpoint, incarnation, options_.perSecond, now_);
        while (node.allowance(endpoint, incarnation) >= 1) {
            node.noteSent(endpoint);
            arrivals_.push_back(now_);
            node.noteAnswer(endpoint, incarnation, options_.perSecond, now_);
        }
        if (now_ < nextReport_[i])
            return;
        nextReport_[i] = now_ + options_.reportInterval;
        const std::vector<LimitReport> reports = node.takeReports();
        for (size_t to = 0; to < nodes_.size(); ++to) {
            const bool isLost = isCut(i) || isCut(to) || std::uniform_real_distribution<double>(0, 1)(random_) < options_.lostFraction;
            if (to != i && !isLost)
                inFlight_.push_back({ now_ + Millis(5 + random_() % 20), i, to, reports });
        }
    }

    void deliver()
    {
        std::erase_if(inFlight_, [this](const Message& message) {
            if (message.arrivesAt > now_)
                return false;
            nodes_[message.to]->applyReports("n" + std::to_string(message.from), message.reports);
            return true;
        });
    }

    Options options_;
    Millis now_ { 0 };
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<EndpointLimits>> nodes_;
    std::vector<Millis> nextReport_;
    std::vector<Message> inFlight_;
    std::vector<Millis> arrivals_;
};

// However many nodes share a limit, and whatever they hear of each other, the endpoint gets no more than is allowed; and it gets
// nine tenths of it where all of them hear each other.
RC_GTEST_PROP(LimitedFleetProperty, NodesShareTheLimitOfAnEndpoint, ())
{
    const LimitedFleet::Options options {
        .nodes = *rc::gen::inRange<size_t>(1, 38),
        .perSecond = *rc::gen::inRange(2, 400) / 10.0,
        .reportInterval = Millis(*rc::gen::inRange(40, 260)),
        .lostFraction = *rc::gen::elementOf(std::vector<double> { 0, 0.03, 0.3 }),
        .cutNodes = *rc::gen::elementOf(std::vector<size_t> { 0, 0, 1, 3 }),
    };
    LimitedFleet fleet(options, *rc::gen::arbitrary<uint64_t>());
    fleet.run(Millis(20000));
    const double allowed = allowedFactor * windowSeconds * std::max(options.perSecond, 0.25) + allowedExtra;
    RC_ASSERT(static_cast<double>(fleet.mostInWindow()) <= allowed);
    if (options.cutNodes == 0 && options.lostFraction < 0.1 && options.perSecond >= 1)
        RC_ASSERT(fleet.sentPerSecond() >= 0.9 * options.perSecond);
}

} // namespace
