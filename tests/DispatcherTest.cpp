#include "proxy/Dispatcher.h"

#include "proxy/RetryWindow.h"

#include <gtest/gtest.h>

// Tests of how the dispatcher queues, refuses and places requests. Where a test guards against an observed failure, it
// replays the load that led to it.

using namespace hemlockweir;

namespace {

class DispatcherTest : public testing::Test {
protected:
    static Target target(const std::string& id, uint32_t slots, const std::string& domain = "a")
    {
        return { .id = id, .service = "engines", .model = "m", .address = "127.0.0.1", .port = 1, .domain = domain, .slots = slots };
    }

    // A replica that processes 46 prompt tokens per ms and emits an event every 58 ms.
    static Target engine(const std::string& id)
    {
        Target target = DispatcherTest::target(id, 20);
        target.promptMsPerToken = 1 / 46.0;
        target.eventIntervalMs = 58;
        return target;
    }

    // Submits a request with a prompt of this many tokens.
    uint64_t submitPrompt(uint32_t tokens)
    {
        const uint64_t id = ++lastId_;
        dispatcher_.submit({ .id = id, .service = "engines", .model = "m", .priority = 1, .arrivedAt = now_, .objectiveAt = now_ + Millis(500), .deadlineAt = now_ + Millis(8000), .promptTokens = tokens, .gapTarget = Millis(300), .onPlaced = [this, id](const Target& chosen) { placed_[id] = chosen.id; }, .onRefused = [this, id](const PlacementRefusal& refusal) { refused_.insert_or_assign(id, refusal); } });
        return id;
    }

    // Submits a request; its result is recorded under its id.
    uint64_t submit(int priority, Millis objective = Millis(250), Millis timeout = Millis(6000))
    {
        const uint64_t id = ++lastId_;
        dispatcher_.submit({
            .id = id,
            .service = "engines",
            .model = "m",
            .priority = priority,
            .arrivedAt = now_,
            .objectiveAt = now_ + objective,
            .deadlineAt = now_ + timeout,
            .onPlaced = [this, id](const Target& chosen) { placed_[id] = chosen.id; order_.push_back(id); },
            .onRefused = [this, id](const PlacementRefusal& refusal) { refused_.insert_or_assign(id, refusal); },
        });
        return id;
    }

    // Ends one of the requests that run on the target.
    void release(const std::string& target)
    {
        const auto found = std::find_if(placed_.begin(), placed_.end(), [&](const auto& entry) { return entry.second == target && ended_.count(entry.first) == 0; });
        ASSERT_NE(found, placed_.end());
        ended_.insert(found->first);
        dispatcher_.release(target, found->first);
    }

    void advance(Millis time)
    {
        now_ += time;
        dispatcher_.tick();
    }

    Millis now_ { 100000 };
    int usageChanges_ = 0; // calls of onUsageChanged
    int suspects_ = 0;
    Dispatcher dispatcher_ { { .clock = [this] { return now_; }, .random = makeSeededRandom(3), .domain = "a", .onSuspect = [this](const Target&, bool) { ++suspects_; }, .onUsageChanged = [this] { ++usageChanges_; } } };
    std::map<uint64_t, std::string> placed_;
    std::map<uint64_t, PlacementRefusal> refused_;
    std::set<uint64_t> ended_;
    std::vector<uint64_t> order_;
    uint64_t lastId_ = 0;
};

TEST_F(DispatcherTest, RefusesImmediatelyWithoutATarget)
{
    const uint64_t id = submit(0);
    ASSERT_EQ(refused_.count(id), 1U);
    EXPECT_EQ(refused_.at(id).reason, RefusalReason::NoTarget);
    EXPECT_GT(refused_.at(id).retryAfter.count(), 0);
}

// Guards against a request that is sent to one endpoint after the other, each of which rejects it.
TEST_F(DispatcherTest, PromptThatNoTargetHoldsIsRefusedAtOnce)
{
    Target small = engine("e1");
    small.memoryTokens = 90000;
    dispatcher_.setTargets("engines", { small });
    const uint64_t huge = submitPrompt(90001);
    EXPECT_TRUE(placed_.empty());
    ASSERT_EQ(refused_.count(huge), 1U);
    EXPECT_EQ(refused_.at(huge).reason, RefusalReason::TooLarge);
    EXPECT_EQ(refused_.at(huge).retryAfter, Millis(2000)) << "a repetition would be refused, too";
    EXPECT_EQ(placed_.count(submitPrompt(90000)), 1U);
    EXPECT_EQ(refused_.count(submitPrompt(0)), 0U) << "its length is unknown";
}

TEST_F(DispatcherTest, PromptThatOneTargetHoldsIsPlaced)
{
    Target small = engine("e1");
    small.memoryTokens = 90000;
    dispatcher_.setTargets("engines", { small, engine("e2") });
    EXPECT_EQ(placed_.count(submitPrompt(90001)), 1U);
}

// Found by random testing (mix, seed 775646345129): a stream that had to be resumed at another replica was aborted
// immediately, because every replica of its model was suspect at that moment.
TEST_F(DispatcherTest, StartedStreamWaitsForATarget)
{
    PlacementRequest request { .id = 1, .service = "engines", .model = "m", .arrivedAt = now_, .objectiveAt = now_ + Millis(3000), .deadlineAt = now_ + Millis(3000), .hasResponseStarted = true };
    request.onPlaced = [this](const Target& chosen) { placed_[1] = chosen.id; };
    request.onRefused = [this](const PlacementRefusal& refusal) { refused_.insert_or_assign(1, refusal); };
    dispatcher_.submit(std::move(request));
    EXPECT_TRUE(refused_.empty());
    dispatcher_.setTargets("engines", { target("e1", 1) });
    EXPECT_EQ(placed_[1], "e1");
}

TEST_F(DispatcherTest, SpreadsRequestsOverFreeTargets)
{
    dispatcher_.setTargets("engines", { target("e1", 4), target("e2", 4), target("e3", 4) });
    for (int i = 0; i < 12; ++i)
        submit(0);
    std::map<std::string, int> count;
    for (const auto& [id, where] : placed_)
        ++count[where];
    EXPECT_EQ(placed_.size(), 12U);
    EXPECT_EQ(count, (std::map<std::string, int> { { "e1", 4 }, { "e2", 4 }, { "e3", 4 } }));
}

// The least urgent requests fill all slots and the queue; an urgent request that arrives later starts first.
TEST_F(DispatcherTest, UrgentRequestOvertakesLessUrgentOnes)
{
    dispatcher_.setTargets("engines", { target("e1", 2) });
    for (int i = 0; i < 50; ++i)
        submit(2, Millis(1000));
    const uint64_t urgent = submit(0);
    EXPECT_EQ(placed_.count(urgent), 0U);
    release("e1");
    EXPECT_EQ(placed_.count(urgent), 1U);
}

// In a burst, requests that can't start in time are refused on arrival, not at their deadline.
TEST_F(DispatcherTest, RefusesOnArrivalWhatCanNotStartInTime)
{
    dispatcher_.setTargets("engines", { target("e1", 1) });
    submit(0);
    std::vector<uint64_t> burst;
    burst.reserve(30);
    for (int i = 0; i < 10; ++i)
        burst.push_back(submit(0));
    // One slot becomes free every 100 ms, which sets the start rate of the queue.
    for (int i = 0; i < 4; ++i) {
        advance(Millis(100));
        release("e1");
    }
    for (int i = 0; i < 20; ++i)
        burst.push_back(submit(0));
    const uint64_t last = burst.back();
    ASSERT_EQ(refused_.count(last), 1U);
    EXPECT_EQ(refused_.at(last).reason, RefusalReason::QueueTooLong);
    EXPECT_GE(refused_.at(last).retryAfter, Millis(100));
}

TEST_F(DispatcherTest, RefusesWhatWaitedTooLong)
{
    dispatcher_.setTargets("engines", { target("e1", 1) });
    submit(0);
    const uint64_t waiting = submit(0, Millis(250));
    advance(Millis(400));
    EXPECT_EQ(refused_.count(waiting), 0U);
    advance(Millis(200));
    ASSERT_EQ(refused_.count(waiting), 1U);
    EXPECT_EQ(refused_.at(waiting).reason, RefusalReason::WaitedTooLong);
    EXPECT_EQ(dispatcher_.waitingCount(), 0U);
}

// Among requests of the same priority, one that can still be on time precedes one that can't.
TEST_F(DispatcherTest, LateRequestYieldsToOneThatCanBeOnTime)
{
    dispatcher_.setTargets("engines", { target("e1", 1) });
    submit(0);
    const uint64_t late = submit(0, Millis(300));
    advance(Millis(350));
    const uint64_t inTime = submit(0, Millis(300));
    release("e1");
    EXPECT_EQ(placed_.count(inTime), 1U);
    EXPECT_EQ(placed_.count(late), 0U);
}

// The load of an incident: slots for two thirds of the requests, 150 ms to the first byte, an objective of 250 ms. With
// a queue ordered by objective alone, each request got its slot just too late to be on time.
TEST_F(DispatcherTest, MostServedRequestsAreOnTimeInAnOverload)
{
    constexpr Millis firstByte { 150 };
    constexpr Millis service { 400 };
    dispatcher_.setTargets("engines", { target("e1", 8) });
    dispatcher_.noteFirstByte(target("e1", 1), firstByte);
    std::map<uint64_t, Millis> arrivedAt;
    std::multimap<Millis, std::string> ends;
    size_t onTime = 0;
    size_t placedCount = 0;
    for (int step = 0; step < 1000; ++step) {
        advance(Millis(10));
        while (!ends.empty() && ends.begin()->first <= now_) {
            const std::string freed = ends.begin()->second;
            ends.erase(ends.begin());
            release(freed);
        }
        if (step % 3 == 0) // 33 requests per second; 8 slots serve 20
            arrivedAt[submit(0)] = now_;
        for (; placedCount < order_.size(); ++placedCount) {
            const uint64_t id = order_[placedCount];
            ends.emplace(now_ + service, placed_.at(id));
            onTime += now_ + firstByte <= arrivedAt[id] + Millis(250) ? 1 : 0;
        }
    }
    EXPECT_GE(static_cast<double>(onTime), 0.8 * static_cast<double>(placedCount));
}

// Seen on thirty nodes under normal load: several long prompts were placed on one replica, whose streams then paused for
// too long, while other replicas had no prompts left. Queued prompts must weigh more than running requests.
TEST_F(DispatcherTest, LongPromptAvoidsTargetWithQueuedPrompts)
{
    dispatcher_.setTargets("engines", { engine("e1"), engine("e2") });
    const uint64_t first = submitPrompt(4000);
    const std::string& busy = placed_.at(first);
    const std::string& other = busy == "e1" ? "e2" : "e1";
    dispatcher_.updatePeerUsage("n2", { .byTarget = { { hashTarget(other), { .running = 5 } } }, .receivedAt = now_ });
    EXPECT_EQ(placed_.at(submitPrompt(1000)), other);
}

TEST_F(DispatcherTest, PromptsOfOtherNodesCountUntilTheyAreProcessed)
{
    dispatcher_.setTargets("engines", { engine("e1"), engine("e2") });
    dispatcher_.updatePeerUsage("n2", { .byTarget = { { hashTarget("e1"), { .running = 1, .promptMs = 90 } }, { hashTarget("e2"), { .running = 3 } } }, .receivedAt = now_ });
    EXPECT_EQ(placed_.at(submitPrompt(100)), "e2");
    advance(Millis(200));
    EXPECT_EQ(placed_.at(submitPrompt(100)), "e1");
}

// A prompt that would pause the running streams for too long stays in the dispatcher's queue, where it can still be
// placed on another target.
TEST_F(DispatcherTest, PromptWaitsWhileItWouldPauseStreamsForTooLong)
{
    dispatcher_.setTargets("engines", { engine("e1") });
    submitPrompt(6000);
    const uint64_t waiting = submitPrompt(6000);
    EXPECT_EQ(placed_.count(waiting), 0U);
    advance(Millis(100));
    EXPECT_EQ(placed_.count(waiting), 1U);
}

TEST_F(DispatcherTest, ReportsLongPromptsAndLastSlotsImmediately)
{
    dispatcher_.setTargets("engines", { engine("e1") });
    submitPrompt(100);
    EXPECT_EQ(usageChanges_, 0);
    submitPrompt(4000);
    EXPECT_EQ(usageChanges_, 1);
    dispatcher_.updatePeerUsage("n2", { .byTarget = { { hashTarget("e1"), { .running = 14 } } }, .receivedAt = now_ });
    submitPrompt(100);
    EXPECT_EQ(usageChanges_, 2);
    release("e1");
    EXPECT_EQ(usageChanges_, 3);
}

// In a burst of 150% of the fleet's capacity, late requests occupied each freed slot for a second.
TEST_F(DispatcherTest, LateRequestsLeaveLastSlotsToOnesThatCanBeOnTime)
{
    dispatcher_.setTargets("engines", { target("e1", 20) });
    dispatcher_.noteFirstByte(target("e1", 1), Millis(200));
    for (int i = 0; i < 17; ++i)
        submit(0);
    ASSERT_EQ(placed_.size(), 17U);
    const uint64_t late = submit(0, Millis(150));
    EXPECT_EQ(placed_.count(late), 0U);
    const uint64_t inTime = submit(0, Millis(250));
    EXPECT_EQ(placed_.count(inTime), 1U);
    // The late request is refused early, not at its deadline.
    advance(Millis(20));
    ASSERT_EQ(refused_.count(late), 1U);
}

TEST_F(DispatcherTest, RetryAfterInAnOverloadIsLongAndSpread)
{
    dispatcher_.setTargets("engines", { target("e1", 1) });
    dispatcher_.noteFirstByte(target("e1", 1), Millis(300));
    submit(0);
    std::set<Millis> returns;
    for (int i = 0; i < 20; ++i) {
        const uint64_t id = submit(0);
        advance(Millis(20));
        ASSERT_EQ(refused_.count(id), 1U);
        const Millis after = refused_.at(id).retryAfter;
        // Retry-After is at most a third of the time left.
        EXPECT_GE(after, Millis(800));
        EXPECT_LE(after, Millis(2000));
        returns.insert(after);
    }
    EXPECT_GT(returns.size(), 10U);
}

// A burst of low-priority requests filled all slots of a model, and more urgent requests found none.
TEST_F(DispatcherTest, LessUrgentRequestsLeaveSlotsForMoreUrgentOnesOfTheirModel)
{
    dispatcher_.setTargets("engines", { target("e1", 20) });
    submit(1);
    for (int i = 0; i < 30; ++i)
        submit(2, Millis(3000));
    EXPECT_EQ(placed_.size(), 17U);
    EXPECT_EQ(placed_.count(submit(1)), 1U);
    // Without recent urgent requests, the less urgent ones may use all slots.
    advance(Millis(1100));
    EXPECT_EQ(placed_.size(), 20U);
}

TEST_F(DispatcherTest, FailureReportedByPeerDivertsNewRequests)
{
    dispatcher_.setTargets("engines", { target("e1", 4), target("e2", 4) });
    dispatcher_.notePeerFailure(hashTarget("e1"));
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(placed_.at(submit(0)), "e2");
    dispatcher_.noteSuccess("e1");
    dispatcher_.notePeerFailure(hashTarget("e1")); // ignored: this node just got a response from e1
    for (int i = 0; i < 3; ++i)
        submit(0);
    EXPECT_TRUE(std::any_of(placed_.begin(), placed_.end(), [](const auto& entry) { return entry.second == "e1"; }));
}

// Full engines reject requests in an overload. Counting each rejection as a failure would take live replicas out of
// service.
TEST_F(DispatcherTest, OneRejectionIsNoFailure)
{
    dispatcher_.setTargets("engines", { target("e1", 4) });
    dispatcher_.noteRejection("e1");
    EXPECT_EQ(suspects_, 0);
    advance(Millis(120));
    submit(0);
    submit(0);
    EXPECT_EQ(placed_.size(), 2U);
    dispatcher_.noteRejection("e1");
    dispatcher_.noteRejection("e1");
    EXPECT_EQ(suspects_, 1);
}

TEST_F(DispatcherTest, FailedTargetGetsASingleProbeRequestFirst)
{
    dispatcher_.setTargets("engines", { target("e1", 4) });
    submit(0);
    dispatcher_.noteFailure("e1", true);
    release("e1");
    const uint64_t refused = submit(0);
    EXPECT_EQ(refused_.at(refused).reason, RefusalReason::NoTarget);
    advance(Millis(1600));
    submit(0);
    const uint64_t second = submit(0);
    EXPECT_EQ(placed_.count(second), 0U);
    dispatcher_.noteSuccess("e1");
    dispatcher_.tick();
    EXPECT_EQ(placed_.count(second), 1U);
}

// Requests of other nodes counted as probes of a failed target. A node to which it had failed once got nothing from it for as long
// as another node kept some of its slots in use.
TEST_F(DispatcherTest, FailedTargetThatOthersUseGetsAProbeBesideThem)
{
    const auto reportRunning = [this](uint32_t running) { dispatcher_.updatePeerUsage("n2", { .byTarget = { { hashTarget("e1"), { .running = running } } }, .receivedAt = now_ }); };
    dispatcher_.setTargets("engines", { target("e1", 8) });
    dispatcher_.noteFailure("e1", false);
    advance(Millis(1600));
    reportRunning(1); // may be the probe of the other node
    const uint64_t probe = submit(0);
    const uint64_t second = submit(0);
    EXPECT_EQ(placed_.count(probe), 0U);
    reportRunning(6);
    dispatcher_.tick();
    EXPECT_EQ(placed_.count(probe), 1U);
    EXPECT_EQ(placed_.count(second), 0U);
    dispatcher_.noteSuccess("e1");
    dispatcher_.tick();
    EXPECT_EQ(placed_.count(second), 1U);
}

// Replays the burst of kcs-nairobi-large: all replicas are full, but for those that span fabric domains.
TEST_F(DispatcherTest, SpanningReplicaServesWhatTheOthersHaveNoSlotFor)
{
    Target spanning = target("spanning", 2);
    spanning.timeFactor = 2.5;
    dispatcher_.setTargets("engines", { target("e1", 2), spanning });
    for (int i = 0; i < 5; ++i)
        submit(1);
    EXPECT_EQ(placed_, (std::map<uint64_t, std::string> { { 1, "e1" }, { 2, "e1" }, { 3, "spanning" }, { 4, "spanning" } }));
    release("e1");
    EXPECT_EQ(placed_.at(5), "e1");
}

// A spanning replica is slow: a request that it would make late waits for another one. Nobody else can serve a late one
// sooner.
TEST_F(DispatcherTest, SpanningReplicaGetsNoRequestThatItAloneWouldMakeLate)
{
    Target spanning = target("spanning", 4);
    spanning.timeFactor = 2.5;
    dispatcher_.setTargets("engines", { target("e1", 1), spanning });
    dispatcher_.noteFirstByte(spanning, Millis(375)); // 150 ms on the others
    submit(1);
    const uint64_t urgent = submit(1, Millis(300));
    const uint64_t patient = submit(1, Millis(1000));
    EXPECT_EQ(placed_.count(urgent), 0U);
    EXPECT_EQ(placed_.count(patient), 0U) << "the queue is in order";
    release("e1");
    EXPECT_EQ(placed_.at(urgent), "e1");
    EXPECT_EQ(placed_.at(patient), "spanning");
    const uint64_t late = submit(1, Millis(100));
    EXPECT_EQ(placed_.at(late), "spanning");
}

TEST_F(DispatcherTest, CountsRequestsOfOtherNodes)
{
    dispatcher_.setTargets("engines", { target("e1", 4), target("e2", 4) });
    dispatcher_.updatePeerUsage("n2", { .byTarget = { { hashTarget("e1"), { .running = 4 } } }, .receivedAt = now_ });
    for (int i = 0; i < 4; ++i)
        submit(0);
    EXPECT_TRUE(std::all_of(placed_.begin(), placed_.end(), [](const auto& entry) { return entry.second == "e2"; }));
    // The usage of a node that stopped reporting expires.
    advance(Millis(2000));
    const uint64_t later = submit(0);
    EXPECT_EQ(placed_[later], "e1");
}

// Thirty nodes know the same loads and each place one request: none of the forty replicas gets more than a few.
TEST_F(DispatcherTest, NodesWithTheSameLoadsDoNotOverloadOneTarget)
{
    std::vector<TargetLoad> loads;
    loads.reserve(40);
    for (int i = 0; i < 40; ++i)
        loads.push_back({ .target = target("e" + std::to_string(i), 20), .peerRunning = i == 0 ? 0.0 : 1.0 });
    std::vector<const TargetLoad*> pointers;
    pointers.reserve(loads.size());
    for (const TargetLoad& load : loads)
        pointers.push_back(&load);
    const Random random = makeSeededRandom(11);
    std::map<std::string, int> count;
    for (int node = 0; node < 30; ++node)
        ++count[chooseTarget(pointers, {}, "a", now_, { .unseenRequests = 30 }, random)->target.id];
    const int most = std::max_element(count.begin(), count.end(), [](const auto& one, const auto& other) { return one.second < other.second; })->second;
    EXPECT_LE(most, 6);
}

TEST_F(DispatcherTest, KeepsTheLoadOfRemainingTargets)
{
    dispatcher_.setTargets("engines", { target("e1", 1), target("e2", 1) });
    submit(0);
    submit(0);
    dispatcher_.setTargets("engines", { target("e1", 1) });
    const uint64_t waiting = submit(0);
    EXPECT_EQ(placed_.count(waiting), 0U);
    release("e2"); // no longer a target
    EXPECT_EQ(placed_.count(waiting), 0U);
    release("e1");
    EXPECT_EQ(placed_.count(waiting), 1U);
}

TEST(RetryWindowTest, SharesTheAllowanceAndExpiresAfterTheWindow)
{
    Millis now { 50000 };
    RetryWindow window({ .clock = [&now] { return now; }, .window = Millis(10000), .retriesPerRequest = 0.2, .allowance = 100 });
    window.setNodeCount(4);
    int taken = 0;
    while (taken < 1000 && window.tryConsume("s"))
        ++taken;
    EXPECT_LE(taken, 25);
    EXPECT_GE(taken, 15);
    for (int i = 0; i < 100; ++i)
        window.noteRequest("s");
    EXPECT_TRUE(window.tryConsume("s"));
    now += Millis(11000);
    EXPECT_TRUE(window.tryConsume("s"));
}

} // namespace
