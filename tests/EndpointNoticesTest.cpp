#include "proxy/Dispatcher.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

// Tests of what endpoints announce of themselves in their answers: that they leave, or want no request for some time.

using namespace hemlockweir;

namespace {

class EndpointNoticesTest : public testing::Test {
protected:
    Millis now_ { 100000 };
    EndpointNotices notices_ { { .clock = [this] { return now_; }, .maxPause = Millis(60000), .leavingTime = Millis(600000) } };
};

TEST_F(EndpointNoticesTest, LeavingHoldsForTheIncarnation)
{
    EXPECT_TRUE(notices_.noteLeaving("e1", 7));
    EXPECT_FALSE(notices_.noteLeaving("e1", 7));
    now_ += Millis(500000);
    EXPECT_GT(notices_.unavailableUntil("e1", 7), now_);
    EXPECT_EQ(notices_.unavailableUntil("e1", 8), Millis(0)) << "it has started again";
    EXPECT_EQ(notices_.unavailableUntil("e2", 7), Millis(0));
}

TEST_F(EndpointNoticesTest, LaterEndOfTwoPausesHolds)
{
    notices_.notePause("e1", 7, Millis(3000));
    notices_.notePause("e1", 7, Millis(1000));
    EXPECT_EQ(notices_.unavailableUntil("e1", 7), now_ + Millis(3000));
    now_ += Millis(3000);
    EXPECT_EQ(notices_.unavailableUntil("e1", 7), Millis(0));
}

TEST_F(EndpointNoticesTest, HugePauseIsBounded)
{
    notices_.notePause("e1", 7, Millis(1000000000));
    EXPECT_EQ(notices_.unavailableUntil("e1", 7), now_ + Millis(60000));
}

TEST(RetryAfter, IsReadInSecondsWithDecimals)
{
    EXPECT_EQ(parseRetryAfter("2"), Millis(2000));
    EXPECT_EQ(parseRetryAfter("0.25"), Millis(250));
    EXPECT_EQ(parseRetryAfter("0"), Millis(0));
    for (const std::string text : { "", "-1", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", "nan", "inf", "1s" })
        EXPECT_EQ(parseRetryAfter(text), std::nullopt) << text;
    EXPECT_TRUE(parseRetryAfter("1e300").has_value());
}

class AnnouncedDispatch : public testing::Test {
protected:
    static Target target(const std::string& id, int64_t startedAtMs = 1)
    {
        return { .id = id, .service = "engines", .model = "m", .address = "127.0.0.1", .port = 1, .startedAtMs = startedAtMs, .domain = "a", .slots = 4 };
    }

    // Submits a request and returns the endpoint that it is placed on; empty if it is not placed now.
    std::string submit()
    {
        placed_.clear();
        dispatcher_.submit({ .id = ++lastId_, .service = "engines", .model = "m", .arrivedAt = now_, .objectiveAt = now_ + Millis(250), .deadlineAt = now_ + Millis(6000), .onPlaced = [this](const Target& chosen) { placed_ = chosen.id; }, .onRefused = [this](const PlacementRefusal& refusal) { refusal_ = refusal; } });
        return placed_;
    }

    Millis now_ { 100000 };
    Dispatcher dispatcher_ { { .clock = [this] { return now_; }, .random = makeSeededRandom(3), .domain = "a" } };
    std::string placed_; // endpoint of the request that was placed last
    std::optional<PlacementRefusal> refusal_;
    uint64_t lastId_ = 0;
};

TEST_F(AnnouncedDispatch, LeavingEndpointGetsNoRequestWhateverTheListSays)
{
    dispatcher_.setTargets("engines", { target("e1"), target("e2") });
    dispatcher_.noteLeaving(target("e1"));
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(submit(), "e2");
    // Its entry lapses and comes back, as an outage of the store has it.
    dispatcher_.setTargets("engines", {});
    dispatcher_.setTargets("engines", { target("e1") });
    EXPECT_EQ(submit(), "");
    dispatcher_.setTargets("engines", { target("e1", 2) });
    EXPECT_EQ(submit(), "e1") << "it has started again";
}

TEST_F(AnnouncedDispatch, RequestIsRefusedAtOnceWhenAllEndpointsLeave)
{
    dispatcher_.setTargets("engines", { target("e1") });
    dispatcher_.noteLeaving(target("e1"));
    EXPECT_EQ(submit(), "");
    ASSERT_TRUE(refusal_.has_value());
    EXPECT_EQ(refusal_->reason, RefusalReason::NoTarget);
    EXPECT_LE(refusal_->retryAfter, Millis(2000)) << "others take their place";
}

// Streams that run on it must not bring back the whole load at the end of its pause.
TEST_F(AnnouncedDispatch, LoadReturnsByStepsAlsoIfStreamsRanDuringThePause)
{
    dispatcher_.setTargets("engines", { target("e1") });
    EXPECT_EQ(submit(), "e1");
    dispatcher_.notePause(target("e1"), Millis(1000));
    dispatcher_.noteSuccess("e1");
    dispatcher_.release("e1", lastId_);
    now_ += Millis(1000);
    EXPECT_EQ(submit(), "e1");
    EXPECT_EQ(submit(), "");
    dispatcher_.noteSuccess("e1");
    dispatcher_.tick();
    EXPECT_EQ(placed_, "e1") << "what waited follows a response";
}

TEST_F(AnnouncedDispatch, PausedEndpointGetsNothingAndThenASingleRequestFirst)
{
    dispatcher_.setTargets("engines", { target("e1") });
    dispatcher_.notePause(target("e1"), Millis(2000));
    EXPECT_EQ(submit(), "");
    ASSERT_TRUE(refusal_.has_value());
    EXPECT_GE(refusal_->retryAfter, Millis(2000)) << "it is not free before";
    dispatcher_.noteSuccess("e1"); // a stream that runs there goes on
    now_ += Millis(1999);
    dispatcher_.notePause(target("e1"), Millis(100));
    EXPECT_EQ(submit(), "");
    now_ += Millis(100);
    EXPECT_EQ(submit(), "e1");
    EXPECT_EQ(submit(), "") << "the load returns by steps";
}

// Guards against a limited endpoint that gets more than its limit, while another one has slots.
TEST_F(AnnouncedDispatch, RequestsBeyondALimitGoToTheOtherEndpoints)
{
    dispatcher_.setTargets("engines", { target("e1"), target("e2") });
    EXPECT_TRUE(dispatcher_.noteRequestLimit(target("e1"), 2.0, now_));
    std::map<std::string, int> counts;
    for (int i = 0; i < 400; ++i) {
        now_ += Millis(10);
        dispatcher_.tick();
        const std::string endpoint = submit();
        ++counts[endpoint];
        dispatcher_.release(endpoint, lastId_);
    }
    EXPECT_GE(counts["e1"], 1);
    EXPECT_LE(counts["e1"], 9);
    EXPECT_EQ(counts["e1"] + counts["e2"], 400);
}

// The limit holds for repetitions and resumed streams, too.
TEST_F(AnnouncedDispatch, ResumedStreamWaitsForTheLimit)
{
    dispatcher_.setTargets("engines", { target("e1") });
    dispatcher_.noteRequestLimit(target("e1"), 2.0, now_);
    std::string chosen;
    dispatcher_.submit({ .id = ++lastId_, .service = "engines", .model = "m", .arrivedAt = now_, .objectiveAt = now_, .deadlineAt = now_ + Millis(6000), .hasResponseStarted = true, .onPlaced = [&](const Target& placed) { chosen = placed.id; }, .onRefused = [](const PlacementRefusal&) {} });
    EXPECT_EQ(chosen, "");
    now_ += Millis(500);
    dispatcher_.tick();
    EXPECT_EQ(chosen, "e1");
}

TEST_F(AnnouncedDispatch, RefusalNamesTheTimeOfTheNextAllowedRequest)
{
    dispatcher_.setTargets("engines", { target("e1") });
    dispatcher_.noteRequestLimit(target("e1"), 0.5, now_);
    EXPECT_EQ(submit(), "");
    now_ += Millis(600);
    dispatcher_.tick();
    ASSERT_TRUE(refusal_.has_value());
    EXPECT_GE(refusal_->retryAfter, Millis(1400));
    EXPECT_LE(refusal_->retryAfter, Millis(3400));
}

// A node that may not use any endpoint of a service held its callers until their objectives had passed.
TEST_F(AnnouncedDispatch, RequestIsRefusedAtOnceWhereOnlyOtherNodesUseTheEndpoints)
{
    std::vector<std::string> nodes;
    nodes.reserve(100);
    for (int i = 0; i < 100; ++i)
        nodes.push_back("n" + std::to_string(i));
    dispatcher_.setPeerNodes(nodes);
    dispatcher_.setTargets("engines", { target("e1") });
    dispatcher_.noteRequestLimit(target("e1"), 2.0, now_);
    EXPECT_EQ(submit(), "");
    ASSERT_TRUE(refusal_.has_value());
    EXPECT_EQ(refusal_->reason, RefusalReason::NoTarget);
    EXPECT_EQ(refusal_->targets, 0U);
}

TEST_F(AnnouncedDispatch, EndOfALimitBringsBackTheEndpoint)
{
    dispatcher_.setTargets("engines", { target("e1") });
    dispatcher_.noteRequestLimit(target("e1"), 2.0, now_);
    EXPECT_EQ(submit(), "");
    now_ += Millis(100);
    EXPECT_TRUE(dispatcher_.noteRequestLimit(target("e1"), std::nullopt, now_));
    dispatcher_.tick();
    EXPECT_EQ(placed_, "e1");
    EXPECT_EQ(submit(), "e1");
}

// Over any announcements, no request is placed on an endpoint that leaves or pauses, and one is placed where one is free.
RC_GTEST_PROP(AnnouncedDispatchProperty, NothingReachesAnEndpointThatLeavesOrPauses, ())
{
    Millis now { 100000 };
    Dispatcher dispatcher({ .clock = [&now] { return now; }, .random = makeSeededRandom(3), .domain = "a" });
    std::vector<Target> targets;
    for (const std::string id : { "e1", "e2", "e3" })
        targets.push_back({ .id = id, .service = "engines", .model = "m", .address = "127.0.0.1", .port = 1, .startedAtMs = 1, .domain = "a", .slots = 1000 });
    dispatcher.setTargets("engines", targets);
    std::map<std::string, Millis> unavailableUntil;
    for (uint64_t step = 1; step <= 100; ++step) {
        now += Millis(*rc::gen::inRange(1, 500));
        const Target& target = targets[*rc::gen::inRange<size_t>(0, targets.size())];
        switch (*rc::gen::inRange(0, 12)) {
        case 0:
            dispatcher.noteLeaving(target);
            unavailableUntil[target.id] = Millis::max();
            break;
        case 1:
        case 2: {
            const Millis pause(*rc::gen::inRange(0, 3000));
            dispatcher.notePause(target, pause);
            unavailableUntil[target.id] = std::max(unavailableUntil[target.id], now + pause);
            break;
        }
        case 3:
            dispatcher.setTargets("engines", {});
            dispatcher.setTargets("engines", targets);
            break;
        default: {
            std::string placed;
            dispatcher.submit({ .id = step, .service = "engines", .model = "m", .arrivedAt = now, .objectiveAt = now + Millis(250), .deadlineAt = now + Millis(6000), .onPlaced = [&placed](const Target& chosen) { placed = chosen.id; }, .onRefused = [](const PlacementRefusal&) {} });
            dispatcher.cancel(step);
            const bool isOneFree = std::any_of(targets.begin(), targets.end(), [&](const Target& other) { return unavailableUntil[other.id] <= now; });
            RC_ASSERT(placed.empty() || unavailableUntil[placed] <= now);
            RC_ASSERT(!placed.empty() == isOneFree);
            if (!placed.empty()) {
                dispatcher.noteSuccess(placed);
                dispatcher.release(placed, step);
            }
        }
        }
    }
}

} // namespace
