// Checks how nodes share their polls of instances: what an observer publishes and how receivers
// apply it.

#include "fleet/ObserverRoles.h"
#include "fleet/StatusPublisher.h"
#include "fleet/StatusReceiver.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace hemlockweir {

static constexpr Millis freshness { 1500 };
// TransitDelay allows clocks to drift by 0.2 ms per second, and the property runs for at most 24 s.
static constexpr Millis driftAllowance { 6 };

static InstanceStatus makeStatus(const std::string& id, uint64_t epoch, const std::vector<std::string>& members)
{
    return { .id = id, .incarnation = "1", .state = EngineState::Ready, .group = "g" + std::to_string(epoch), .epoch = epoch, .model = "m", .members = members, .slots = 4 };
}

class SharedStatusesTest : public testing::Test {
protected:
    void SetUp() override
    {
        table.setInstances({ makeInstance("i1"), makeInstance("i2") });
        // The first message of a sender has no earlier one that its transit time can be compared
        // with.
        deliver({ .sentAtMs = static_cast<uint64_t>(now.count()) });
    }

    static Instance makeInstance(const std::string& id) { return { .id = id, .address = id + ":1", .domain = "a", .fabric = "a1", .pool = "models" }; }

    void deliver(const Statuses& message) { receiver.handle({ .node = "n2", .incarnation = 1 }, message); }

    void poll()
    {
        for (const char* id : { "i1", "i2" })
            publisher.recordStatus(id, makeStatus(id, 5, { "i1", "i2" }), now);
    }

    // Sends what is due, and delivers it unless `isLost`.
    void exchange(bool isLost = false)
    {
        sent.clear();
        publisher.tick();
        for (const Statuses& message : sent) {
            if (!isLost)
                deliver(message);
        }
    }

    size_t servable() const { return table.findReplicas("m").size(); }

    Millis now { 100000 };
    Clock clock { [this] { return now; } };
    FleetTable table { { .freshness = freshness, .clock = clock } };
    std::vector<Statuses> sent;
    std::vector<StatusesRequest> requests;
    StatusPublisher publisher { { .clock = clock, .broadcast = [this](const Statuses& message) { sent.push_back(message); } } };
    StatusReceiver receiver { { .clock = clock, .broadcast = [this](const StatusesRequest& message) { requests.push_back(message); } }, table };
};

TEST_F(SharedStatusesTest, ServesAGroupOnItsMembersReportsAsAnObserverPublishesThem)
{
    poll();
    exchange();
    EXPECT_EQ(servable(), 1U);
}

TEST_F(SharedStatusesTest, ConfirmsAnUnchangedTableWithoutRows)
{
    poll();
    exchange();
    for (int i = 0; i < 20; ++i) {
        now += Millis(300);
        poll();
        exchange();
        EXPECT_EQ(servable(), 1U);
    }
    EXPECT_TRUE(sent.empty() || sent.back().rows.empty());
}

TEST_F(SharedStatusesTest, StopsServingWithTheFirstReportOfAnUnreachableMember)
{
    poll();
    exchange();
    now += Millis(10);
    publisher.recordUnreachable("i2");
    exchange();
    EXPECT_EQ(servable(), 0U);
}

TEST_F(SharedStatusesTest, DoesNotConfirmAMemberThatStoppedResponding)
{
    poll();
    exchange();
    for (int i = 0; i < 6; ++i) {
        now += Millis(300);
        publisher.recordStatus("i1", makeStatus("i1", 5, { "i1", "i2" }), now);
        exchange();
    }
    EXPECT_EQ(servable(), 0U);
}

TEST_F(SharedStatusesTest, IgnoresAConfirmationAfterALostChange)
{
    poll();
    exchange();
    now += Millis(300);
    publisher.recordStatus("i1", makeStatus("i1", 5, { "i1", "i2" }), now);
    publisher.recordStatus("i2", makeStatus("i2", 6, { "i2" }), now);
    exchange(true);
    for (int i = 0; i < 5; ++i) {
        now += Millis(300);
        publisher.recordStatus("i1", makeStatus("i1", 5, { "i1", "i2" }), now);
        publisher.recordStatus("i2", makeStatus("i2", 6, { "i2" }), now);
        exchange();
    }
    EXPECT_TRUE(std::none_of(sent.begin(), sent.end(), [](const Statuses& message) { return !message.rows.empty(); }));
    EXPECT_EQ(table.findReplica("g5", 5), std::nullopt);
}

TEST_F(SharedStatusesTest, RequestsTheTableAfterAGapAndContinuesWithIt)
{
    poll();
    exchange(true);
    now += Millis(1000);
    poll();
    exchange();
    receiver.tick();
    ASSERT_EQ(requests.size(), 1U);
    EXPECT_EQ(requests.front().observers, std::vector<std::string> { "n2" });
    EXPECT_EQ(servable(), 0U);
    publisher.requestFullTable();
    exchange();
    EXPECT_EQ(servable(), 1U);
}

TEST_F(SharedStatusesTest, PublishesChangesOfLoad)
{
    poll();
    exchange();
    InstanceStatus busy = makeStatus("i1", 5, { "i1", "i2" });
    busy.running = 3;
    now += Millis(1000);
    poll();
    publisher.recordStatus("i1", busy, now);
    exchange();
    ASSERT_EQ(servable(), 1U);
    EXPECT_EQ(table.findReplicas("m").front().running, 3U);
}

TEST(ObserverRoles, StandbysPollBeforeAReportIsStaleAndEveryNodeAfter)
{
    Millis now { 1000 };
    size_t rank = 0;
    ObserverRoles roles({ .fallbackDuration = Millis(10000), .clock = [&] { return now; }, .rank = [&](const auto&, const std::string&) { return rank; } });
    auto roleAt = [&](size_t newRank, const std::vector<std::string>& nodes) {
        rank = newRank;
        roles.setNodes({});
        roles.setNodes(nodes);
        return roles.roleFor("i1");
    };
    const std::vector<std::string> few { "n1", "n2", "n3" };
    const std::vector<std::string> many { "n1", "n2", "n3", "n4", "n5", "n6" };
    EXPECT_EQ(roleAt(2, few), ObserverRole::Local);
    EXPECT_EQ(roleAt(1, many), ObserverRole::Publisher);
    EXPECT_EQ(roleAt(2, many), ObserverRole::None);
    roles.setStale({ "i1" }, {});
    EXPECT_EQ(roleAt(2, many), ObserverRole::Publisher);
    now += Millis(10001);
    roles.setStale({}, {});
    EXPECT_EQ(roleAt(4, many), ObserverRole::None);
    roles.setStale({ "i1" }, { "i1" });
    EXPECT_EQ(roleAt(4, many), ObserverRole::Local);
}

TEST(ObserverRoles, LimitsFallbackPollsWhenManyReportsAreMissing)
{
    ObserverRoles roles({ .maxFallbacks = 2, .clock = [] { return Millis(1000); }, .rank = [](const auto&, const std::string&) { return size_t { 9 }; } });
    roles.setNodes({ "n1", "n2", "n3", "n4", "n5" });
    const std::set<std::string> stale { "i1", "i2", "i3", "i4" };
    roles.setStale(stale, stale);
    EXPECT_EQ(std::count_if(stale.begin(), stale.end(), [&](const std::string& id) { return roles.roleFor(id) == ObserverRole::Local; }), 2);
}

// Two observers, one receiver, and two members that restart, pause and change their group at
// random. Messages are lost, delayed and reordered, and observers restart.
RC_GTEST_PROP(SharedStatuses, NeverServesAGroupThatAMemberLeftLongerAgoThanTheFreshness, ())
{
    Millis now { 100000 };
    const Clock clock = [&] { return now; };
    const std::vector<std::string> ids { "i1", "i2" };
    struct Member {
        uint64_t epoch = 5;
        bool isPaused = false;
        Millis inGroupUntil { 0 }; // last time at which it would have reported itself ready in group 5
    };
    struct Delivery {
        size_t observer = 0;
        uint64_t incarnation = 1;
        Statuses message;
        Millis at { 0 };
    };
    std::map<std::string, Member> members { { "i1", {} }, { "i2", {} } };
    std::vector<Delivery> deliveries;
    FleetTable table({ .freshness = freshness, .clock = clock });
    table.setInstances({ { .id = "i1", .address = "i1:1", .domain = "a" }, { .id = "i2", .address = "i2:1", .domain = "a" } });
    StatusReceiver receiver({ .clock = clock, .broadcast = [](const StatusesRequest&) {} }, table);
    std::vector<uint64_t> incarnations { 1, 1 };
    std::vector<std::unique_ptr<StatusPublisher>> observers(2);
    auto start = [&](size_t i) {
        observers[i] = std::make_unique<StatusPublisher>(StatusPublisher::Options { .clock = clock, .broadcast = [&, i](const Statuses& message) {
                                                                                       if (*rc::gen::inRange(0, 10) > 0)
                                                                                           deliveries.push_back({ i, incarnations[i], message, now + Millis(*rc::gen::element(0, 0, 0, 20, 400, 2500)) });
                                                                                   } });
        // Gives the receiver the minimum transit time; see TransitDelay.
        receiver.handle({ .node = "o" + std::to_string(i), .incarnation = incarnations[i] }, { .sentAtMs = static_cast<uint64_t>(now.count()) });
    };
    start(0);
    start(1);
    const int steps = *rc::gen::inRange(10, 120);
    for (int step = 0; step < steps; ++step) {
        now += Millis(*rc::gen::inRange(10, 200));
        Member& changed = members[*rc::gen::elementOf(ids)];
        switch (*rc::gen::inRange(0, 16)) {
        case 0:
            changed.epoch = changed.epoch == 5 ? 6 : 5;
            break;
        case 1:
            changed.isPaused = !changed.isPaused;
            break;
        case 2: {
            const size_t i = *rc::gen::inRange<size_t>(0, 2);
            ++incarnations[i];
            start(i);
            break;
        }
        case 3:
            observers[*rc::gen::inRange<size_t>(0, 2)]->requestFullTable();
            break;
        default:
            break;
        }
        for (auto& [id, member] : members) {
            if (member.epoch == 5 && !member.isPaused)
                member.inGroupUntil = now;
        }
        for (auto& observer : observers) {
            for (auto& [id, member] : members) {
                if (!member.isPaused && *rc::gen::inRange(0, 3) > 0)
                    observer->recordStatus(id, makeStatus(id, member.epoch, member.epoch == 5 ? ids : std::vector<std::string> { id }), now);
                else if (*rc::gen::inRange(0, 20) == 0)
                    observer->recordUnreachable(id);
            }
            observer->tick();
        }
        std::vector<Delivery> pending;
        for (const Delivery& delivery : deliveries) {
            if (delivery.at > now)
                pending.push_back(delivery);
            else if (delivery.incarnation == incarnations[delivery.observer])
                receiver.handle({ .node = "o" + std::to_string(delivery.observer), .incarnation = delivery.incarnation }, delivery.message);
        }
        deliveries = pending;
        if (table.findReplica("g5", 5)) {
            for (const auto& [id, member] : members)
                RC_ASSERT(now - member.inGroupUntil <= freshness + driftAllowance);
        }
    }
}

} // namespace hemlockweir
