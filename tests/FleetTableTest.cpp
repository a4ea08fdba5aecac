// Checks which groups may serve requests, given the members' statuses and the rows of peers.

#include "fleet/GroupExchange.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace hemlockweir {

class FleetTableTest : public testing::Test {
protected:
    void SetUp() override { table.setInstances({ makeInstance("i1"), makeInstance("i2"), makeInstance("i3") }); }

    static Instance makeInstance(const std::string& id) { return { .id = id, .address = id + ":1", .domain = "a", .fabric = "a1", .pool = "models" }; }

    static InstanceStatus makeStatus(const std::string& id, uint64_t epoch, const std::vector<std::string>& members)
    {
        return { .id = id, .state = EngineState::Ready, .group = "g" + std::to_string(epoch), .epoch = epoch, .model = "m", .members = members, .slots = 4 };
    }

    void report(uint64_t epoch, const std::vector<std::string>& members)
    {
        for (const std::string& id : members)
            table.setStatus(id, makeStatus(id, epoch, members), now);
    }

    RemoteGroup makeRemote(uint64_t epoch, const std::vector<std::string>& members, const std::string& observer = "n2") const
    {
        return { .observer = observer, .group = "g" + std::to_string(epoch), .epoch = epoch, .model = "m", .domain = "a", .members = members, .whole = true, .slots = 4, .reportedAt = now };
    }

    size_t servable() const { return table.findReplicas("m").size(); }

    Millis now { 100000 };
    FleetTable table { { .freshness = Millis(1500), .clock = [this] { return now; } } };
};

TEST_F(FleetTableTest, ServesAGroupWhileEveryMemberAgreesFreshly)
{
    report(5, { "i1", "i2" });
    ASSERT_EQ(servable(), 1U);
    EXPECT_EQ(table.findReplicas("m").front().leader, "i1:1");
    now += Millis(1501);
    EXPECT_EQ(servable(), 0U);
}

TEST_F(FleetTableTest, DoesNotServeAGroupWhoseMemberReportsAnother)
{
    report(5, { "i1", "i2" });
    table.setStatus("i2", makeStatus("i2", 4, { "i2", "i3" }), now);
    EXPECT_EQ(servable(), 0U);
}

TEST_F(FleetTableTest, DoesNotServeAGroupThatNamesAMemberTwice)
{
    table.setStatus("i1", makeStatus("i1", 5, { "i1", "i1" }), now);
    EXPECT_EQ(servable(), 0U);
}

TEST_F(FleetTableTest, StopsServingAPeersGroupWhenItsReportsAreStale)
{
    table.setRemoteGroup(makeRemote(5, { "i1", "i2" }));
    ASSERT_EQ(servable(), 1U);
    now += Millis(1501);
    EXPECT_EQ(servable(), 0U);
}

TEST_F(FleetTableTest, TrustsItsOwnViewOverAPeers)
{
    table.setRemoteGroup(makeRemote(5, { "i1", "i2" }));
    table.setStatus("i2", makeStatus("i2", 4, { "i2", "i3" }), now);
    EXPECT_EQ(servable(), 0U);
}

TEST_F(FleetTableTest, DoesNotServeThroughAPeerAMemberThatItCanNotReachItself)
{
    table.setObserved({ "i2" });
    now += Millis(1501);
    table.setRemoteGroup(makeRemote(5, { "i1", "i2" }));
    EXPECT_EQ(servable(), 0U);
    table.setObserved({});
    ASSERT_EQ(servable(), 1U);
    table.dropStatus("i2");
    EXPECT_EQ(servable(), 0U);
}

TEST_F(FleetTableTest, ForgetsAGroupThatAnotherNodeObservesInstead)
{
    table.setObserved({ "i1", "i2" });
    report(5, { "i1", "i2" });
    now += Millis(1501);
    ASSERT_EQ(table.groups().size(), 1U) << "an observed group without fresh reports is still published";
    table.setObserved({});
    EXPECT_TRUE(table.groups().empty());
    table.setRemoteGroup(makeRemote(5, { "i1", "i2" }));
    EXPECT_EQ(table.remoteGroups().size(), 1U);
}

TEST_F(FleetTableTest, NeverServesAMemberInTwoGroupsThatPeersReport)
{
    const RemoteGroup older = makeRemote(5, { "i1", "i2" }, "n2");
    table.setRemoteGroup(makeRemote(7, { "i2", "i3" }, "n3"));
    table.setRemoteGroup(older);
    ASSERT_EQ(servable(), 1U);
    EXPECT_EQ(table.findReplicas("m").front().epoch, 7U);
}

TEST_F(FleetTableTest, DoesNotLetAReorderedRowRestoreAGroup)
{
    const RemoteGroup whole = makeRemote(5, { "i1", "i2" });
    now += Millis(10);
    RemoteGroup broken = makeRemote(5, { "i1", "i2" });
    broken.whole = false;
    table.setRemoteGroup(broken);
    table.setRemoteGroup(whole);
    EXPECT_EQ(servable(), 0U);
}

TEST_F(FleetTableTest, ExcludesAGroupAsSoonAsAnySourceReportsLeaving)
{
    report(5, { "i1", "i2" });
    ASSERT_EQ(servable(), 1U);
    table.setDraining({ "i2" });
    EXPECT_EQ(servable(), 0U);
    table.setDraining({});
    table.setRemoteDraining("n2", { "i1" }, now);
    EXPECT_EQ(servable(), 0U);
    table.setRemoteDraining("n2", {}, now);
    Instance leaving = makeInstance("i1");
    leaving.leaving = true;
    table.setInstances({ leaving, makeInstance("i2") });
    EXPECT_EQ(servable(), 0U);
}

// A message that waited in the socket of a paused receiver must not be treated as fresh when it is
// read.
TEST_F(FleetTableTest, CountsTheTransitTimeOfAMessage)
{
    GroupExchange exchange({ .clock = [this] { return now; }, .broadcast = {}, .shouldPublish = {} }, table);
    Groups message { .sentAtMs = 5000, .rows = { { .group = "g5", .epoch = 5, .model = "m", .domain = "a", .members = { "i1", "i2" }, .whole = true, .slots = 4 } } };
    uint64_t sequence = 0;
    auto handle = [&] { exchange.handle({ .kind = Groups::kind, .sender = { .node = "n2", .incarnation = 1, .sequence = ++sequence }, .body = encodeBody(message) }); };
    handle();
    EXPECT_EQ(servable(), 0U) << "the first message has no earlier one to compare its transit time with";
    message.sentAtMs += 200;
    now += Millis(200);
    handle();
    ASSERT_EQ(servable(), 1U);
    message.sentAtMs += 200;
    now += Millis(2000);
    handle();
    EXPECT_EQ(servable(), 0U);
}

// In whatever order rows arrive, no instance is in two servable groups, and no servable group is
// stale.
RC_GTEST_PROP(FleetTable, NeverServesAnInstanceInTwoGroups, ())
{
    Millis now { 100000 };
    FleetTable table({ .freshness = Millis(1500), .clock = [&] { return now; } });
    std::vector<Instance> instances;
    for (char name = 'a'; name < 'g'; ++name)
        instances.push_back({ .id = std::string(1, name), .address = "x:1", .domain = "a", .fabric = "a1", .pool = "models" });
    table.setInstances(instances);
    std::vector<std::vector<std::string>> formed;
    const auto steps = *rc::gen::inRange(1, 40);
    for (int i = 0; i < steps; ++i) {
        now += Millis(*rc::gen::inRange(0, 400));
        // Each epoch is used once. Late messages and orders can report older groups again.
        if (formed.empty() || *rc::gen::arbitrary<bool>()) {
            const auto first = static_cast<size_t>(*rc::gen::inRange(0, 6));
            const auto second = (first + static_cast<size_t>(*rc::gen::inRange(1, 6))) % 6;
            formed.push_back({ instances[first].id, instances[second].id });
        }
        const auto index = static_cast<size_t>(*rc::gen::inRange<int>(0, static_cast<int>(formed.size())));
        const uint64_t epoch = index + 1;
        const std::string group = "g" + std::to_string(epoch);
        const std::string reporter = formed[index][static_cast<size_t>(*rc::gen::inRange(0, 2))];
        if (*rc::gen::arbitrary<bool>())
            table.setStatus(reporter, { .id = reporter, .state = EngineState::Ready, .group = group, .epoch = epoch, .model = "m", .members = formed[index] }, now);
        else
            table.setRemoteGroup({ .observer = "n2", .group = group, .epoch = epoch, .model = "m", .members = formed[index], .whole = true, .reportedAt = now - Millis(*rc::gen::inRange(0, 2000)) });
        std::map<std::string, std::string> groupOf;
        std::vector<GroupCondition> all = table.groups();
        const std::vector<GroupCondition> remotes = table.remoteGroups();
        all.insert(all.end(), remotes.begin(), remotes.end());
        for (const GroupCondition& condition : all) {
            if (!condition.whole)
                continue;
            RC_ASSERT(now - condition.replica.reportedAt <= Millis(1500));
            for (const std::string& member : std::set(condition.members.begin(), condition.members.end()))
                RC_ASSERT(groupOf.emplace(member, condition.group).second);
        }
    }
}

} // namespace hemlockweir
