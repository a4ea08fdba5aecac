#include "gateway/ConfigurationFollower.h"
#include "gateway/EndpointFollower.h"
#include "gateway/Presence.h"
#include "support/FakeKvStore.h"
#include "support/ScriptedEndpoint.h"

#include <gtest/gtest.h>

// What a node believes of the platform's store when the store is away, forgets or answers too late.

using namespace hemlockweir;

namespace {

// All times of these tests are a tenth of a node's own.
const FollowTiming timing { .wait = Millis(200), .pause = Millis(10), .retryDelay = Millis(25) };

class FollowersTest : public testing::Test {
protected:
    FollowersTest()
    {
        adapter_.store = store_.makeStore();
        adapter_.configurationKey = "config";
        adapter_.endpointPrefix = "endpoints/";
        adapter_.decodeConfiguration = [](const std::string& text) -> absl::StatusOr<ProxyConfiguration> {
            if (text == "garbage")
                return absl::InvalidArgumentError("not a configuration");
            return ProxyConfiguration { .version = std::stoull(text) };
        };
        adapter_.decodeEndpoint = [](const KvItem& item) -> absl::StatusOr<EndpointInfo> {
            if (item.value == "garbage")
                return absl::InvalidArgumentError("not an endpoint");
            return EndpointInfo { .id = item.key, .service = "desk", .isLeaving = item.value == "leaving" };
        };
    }

    // Lets time pass in which nothing is expected to happen.
    void run(Millis time) { store_.run(time); }

    void waitUntil(const std::function<bool()>& condition) { runUntil(store_.context(), condition); }

    FakeKvStore store_;
    Clock clock_ = store_.clock();
    DecisionLog log_ { { .clock = clock_, .descriptor = -1 } };
    PlatformAdapter adapter_;
    std::vector<uint64_t> versions_; // in the order in which they came into force
    ConfigurationFollower::Options configurationOptions_ { .clock = clock_, .timing = timing, .onConfiguration = [this](const std::shared_ptr<const RouteTable>& routes) { versions_.push_back(routes->configuration().version); } };
};

TEST_F(FollowersTest, ConfigurationIsInForceWithinTheWatch)
{
    ConfigurationFollower follower(store_.context(), configurationOptions_, adapter_, log_);
    follower.start();
    run(Millis(30));
    EXPECT_TRUE(versions_.empty());
    store_.put("config", "3");
    waitUntil([this] { return versions_ == std::vector<uint64_t> { 3 }; });
    store_.put("config", "9");
    waitUntil([this] { return versions_ == std::vector<uint64_t> { 3, 9 }; });
}

TEST_F(FollowersTest, ConfigurationNeverGoesBack)
{
    ConfigurationFollower follower(store_.context(), configurationOptions_, adapter_, log_);
    store_.put("config", "9");
    follower.start();
    waitUntil([this] { return versions_ == std::vector<uint64_t> { 9 }; });
    store_.put("config", "3");
    run(Millis(60));
    store_.put("config", "garbage");
    run(Millis(60));
    EXPECT_EQ(versions_, std::vector<uint64_t> { 9 });
    EXPECT_EQ(follower.version(), 9U);
}

TEST_F(FollowersTest, LostHistoryIsReadAnew)
{
    ConfigurationFollower follower(store_.context(), configurationOptions_, adapter_, log_);
    store_.put("config", "3");
    follower.start();
    waitUntil([this] { return versions_ == std::vector<uint64_t> { 3 }; });
    store_.put("config", "9");
    store_.loseHistory();
    waitUntil([this] { return versions_ == std::vector<uint64_t> { 3, 9 }; });
}

// A store that has lost its history for good answers each watch so: the follower must not ask without a pause.
TEST_F(FollowersTest, LostHistoryIsNoReasonToAskWithoutAPause)
{
    ConfigurationFollower follower(store_.context(), configurationOptions_, adapter_, log_);
    store_.put("config", "3");
    store_.setKeepsHistory(false);
    follower.start();
    run(Millis(200));
    EXPECT_LE(store_.calls(), 30U);
}

TEST_F(FollowersTest, LapsedEntriesGetTimeToComeBack)
{
    EndpointFollower follower(store_.context(), { .clock = clock_, .onChange = [] {} }, adapter_, log_);
    store_.put("endpoints/e1", "ready");
    store_.put("endpoints/e2", "ready");
    follower.start();
    waitUntil([&] { return follower.endpoints().size() == 2; });
    store_.setDown(true);
    run(Millis(300));
    store_.remove("endpoints/e1");
    store_.remove("endpoints/e2");
    store_.setDown(false);
    run(Millis(100));
    EXPECT_EQ(follower.endpoints().size(), 2U);
    store_.put("endpoints/e1", "ready");
    waitUntil([&] { return follower.endpoints().size() == 1; });
    EXPECT_EQ(follower.endpoints().front().id, "endpoints/e1");
}

TEST_F(FollowersTest, EntryOfAnotherWriterNamesNoEndpointAndHarmsNoOther)
{
    EndpointFollower follower(store_.context(), { .clock = clock_, .onChange = [] {} }, adapter_, log_);
    store_.put("endpoints/e1", "ready");
    store_.put("endpoints/e2", "garbage");
    follower.start();
    waitUntil([&] { return follower.endpoints().size() == 1; });
    store_.put("endpoints/e1", "leaving");
    waitUntil([&] { return follower.endpoints().front().isLeaving; });
}

class PresenceTest : public FollowersTest {
protected:
    std::unique_ptr<Presence> makeNode(const std::string& name, std::vector<std::string>& planners)
    {
        auto node = std::make_unique<Presence>(store_.context(),
            Presence::Options { .clock = clock_, .node = name, .address = "127.0.0.1:1", .boot = name + "-boot", .leaseTtl = Millis(1000), .renewInterval = Millis(100), .timing = timing, .writeInterval = Millis(50), .callMargin = Millis(30), .onRole = [&planners, name](bool isPlanner, uint64_t) { planners.push_back((isPlanner ? "+" : "-") + name); } },
            adapter_, log_);
        node->start();
        return node;
    }

    std::vector<std::string> roles_;
};

TEST_F(PresenceTest, OneNodePlansAndAllKnowEachOther)
{
    const auto first = makeNode("n1", roles_);
    const auto second = makeNode("n2", roles_);
    waitUntil([&] { return first->peers().size() == 1 && second->peers().size() == 1 && first->isPlanner() + second->isPlanner() == 1; });
    EXPECT_EQ(first->peers().front().node, "n2");
}

TEST_F(PresenceTest, PlannerThatResignsIsFollowedAtOnce)
{
    const auto first = makeNode("n1", roles_);
    waitUntil([&] { return first->isPlanner(); });
    const auto second = makeNode("n2", roles_);
    waitUntil([&] { return second->peers().size() == 1; });
    const Millis before = clock_();
    first->resign();
    EXPECT_FALSE(first->isPlanner());
    waitUntil([&] { return second->isPlanner(); });
    EXPECT_LT(clock_() - before, Millis(1000)); // the lease
}

TEST_F(PresenceTest, PlannerWithoutTheStoreStopsBeforeItsLeaseEnds)
{
    const auto first = makeNode("n1", roles_);
    waitUntil([&] { return first->isPlanner(); });
    store_.setDown(true);
    const Millis leaseEnd = store_.lastLeaseEnd();
    Millis lastPlanned { 0 };
    waitUntil([&] {
        const Millis now = clock_();
        if (!first->isPlanner())
            return true;
        lastPlanned = now;
        return false;
    });
    EXPECT_GT(lastPlanned, Millis(0));
    EXPECT_LT(lastPlanned, leaseEnd);
    store_.setDown(false);
    waitUntil([&] { return first->isPlanner(); });
}

TEST_F(PresenceTest, ClaimWhoseAnswerIsLostStillCounts)
{
    store_.loseAnswers(2);
    const auto first = makeNode("n1", roles_);
    waitUntil([&] { return first->isPlanner(); });
    EXPECT_EQ(roles_, std::vector<std::string> { "+n1" });
}

} // namespace
