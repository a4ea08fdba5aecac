// Checks with real processes that only whole groups serve and that no instance is shared by two
// groups. The leaders do not check their members here, so that only the nodes keep requests off a
// broken group.

#include "support/Cluster.h"

#include <QJsonDocument>
#include <gtest/gtest.h>
#include <set>

namespace hemlockweir {

class GroupsProcess : public testing::Test {
protected:
    void start(int engines, const QStringList& engineArguments)
    {
        cluster.startStore();
        cluster.startEngines({ .count = engines, .domain = "a", .fabric = "a1", .arguments = engineArguments });
        cluster.startNode({ .name = "n1", .domain = "a", .seeds = { "n2" }, .settings = "[timing]\nlease_ttl_ms = 1000\n" });
        cluster.startNode({ .name = "n2", .domain = "a", .seeds = { "n1" }, .settings = "[timing]\nlease_ttl_ms = 1000\n" });
        ASSERT_EQ(cluster.publish(makeServiceFile(2)), 0);
        for (const char* node : { "n1", "n2" })
            ASSERT_TRUE(cluster.waitForGroups(node, static_cast<size_t>(engines / 2)));
    }

    static std::string memberOf(const QJsonObject& group, int index) { return group["members"].toArray().at(index).toString().toStdString(); }

    bool isWhole(const std::string& node, double epoch)
    {
        const std::vector<QJsonObject> groups = cluster.wholeGroups(node);
        return std::any_of(groups.begin(), groups.end(), [&](const QJsonObject& group) { return group["epoch"].toDouble() == epoch; });
    }

    bool waitForBroken(double epoch)
    {
        return waitUntil([&] { return !isWhole("n1", epoch) && !isWhole("n2", epoch); });
    }

    size_t startsOn(const std::string& leader, double epoch)
    {
        const std::vector<QJsonObject> runs = cluster.effects(leader, "run_started");
        return static_cast<size_t>(std::count_if(runs.begin(), runs.end(), [&](const QJsonObject& run) { return run["epoch"].toDouble() == epoch; }));
    }

    // Sends requests through both nodes and expects that none starts on the leader's group of this
    // epoch.
    void expectNoStart(const std::string& leader, double epoch)
    {
        const size_t before = startsOn(leader, epoch);
        for (int i = 0; i < 10; ++i) {
            for (const char* node : { "n1", "n2" })
                (void)cluster.requestCompletion(node, { .maxTokens = 1, .headers = { { "X-Deadline-Ms", "200" } } });
        }
        EXPECT_EQ(startsOn(leader, epoch), before);
    }

    // Returns whether node n2 sees exactly `groups` whole groups, and no instance is in two of
    // them.
    bool isEveryInstanceInOneWholeGroup(size_t groups)
    {
        const std::vector<QJsonObject> whole = cluster.wholeGroups("n2");
        std::set<std::string> members;
        for (const QJsonObject& group : whole) {
            members.insert(memberOf(group, 0));
            members.insert(memberOf(group, 1));
        }
        return whole.size() == groups && members.size() == 2 * groups;
    }

    Cluster cluster;
};

TEST_F(GroupsProcess, AKilledMemberMakesItsGroupUnserved)
{
    start(2, { "--checks-members", "0" });
    const QJsonObject group = cluster.wholeGroups("n1").front();
    ASSERT_EQ(cluster.requestCompletion("n1", { .maxTokens = 1 }).status, 200);
    cluster.kill(memberOf(group, 1));
    ASSERT_TRUE(waitForBroken(group["epoch"].toDouble()));
    expectNoStart(memberOf(group, 0), group["epoch"].toDouble());
}

TEST_F(GroupsProcess, APausedMemberMakesItsGroupUnserved)
{
    start(2, { "--checks-members", "0" });
    const QJsonObject group = cluster.wholeGroups("n1").front();
    cluster.pause(memberOf(group, 1));
    ASSERT_TRUE(waitForBroken(group["epoch"].toDouble()));
    expectNoStart(memberOf(group, 0), group["epoch"].toDouble());
    cluster.resume(memberOf(group, 1));
    EXPECT_TRUE(waitUntil([&] { return cluster.wholeGroups("n1").size() == 1; }));
    EXPECT_EQ(cluster.requestCompletion("n2", { .maxTokens = 1 }).status, 200);
}

TEST_F(GroupsProcess, AMemberThatReturnsWithAnOldEpochIsReused)
{
    start(3, { "--checks-members", "0" });
    const QJsonObject group = cluster.wholeGroups("n1").front();
    const std::string paused = memberOf(group, 1);
    cluster.pause(paused);
    ASSERT_TRUE(waitForBroken(group["epoch"].toDouble()));
    ASSERT_TRUE(cluster.waitForGroups("n1", 1));
    const QJsonObject repaired = cluster.wholeGroups("n1").front();
    EXPECT_GT(repaired["epoch"].toDouble(), group["epoch"].toDouble());
    cluster.resume(paused);
    ASSERT_TRUE(waitUntil([&] { return cluster.call("GET", cluster.urlOf(paused) + "/status").json()["state"].toString() == "idle"; }));
    EXPECT_TRUE(isWhole("n1", repaired["epoch"].toDouble())) << "the returned member must not break up the repaired group";
}

// The planner's lease expires while its holder is paused. Another node acquires it and repairs the
// group, and the old holder resumes. Then a delayed order of the old holder arrives.
class PausedPlanner : public GroupsProcess, public testing::WithParamInterface<const char*> { };

TEST_P(PausedPlanner, NeverServesAGroupWhoseMembersDisagree)
{
    start(4, { "--checks-members", "0", "--fencing", GetParam() });
    const bool n1Plans = cluster.logOf("n1").contains("planner_lease_taken");
    const std::string planner = n1Plans ? "n1" : "n2";
    const std::string other = n1Plans ? "n2" : "n1";
    const QJsonObject lost = cluster.wholeGroups(other).front();
    cluster.pause(planner);
    cluster.kill(memberOf(lost, 1));
    ASSERT_TRUE(waitUntil([&] { return cluster.logOf(other).contains("planner_lease_taken"); }));
    cluster.restart(memberOf(lost, 1));
    ASSERT_TRUE(waitUntil([&] { return cluster.wholeGroups(other).size() == 2 && !isWhole(other, lost["epoch"].toDouble()); }));
    cluster.resume(planner);
    ASSERT_TRUE(waitUntil([&] { return cluster.wholeGroups(planner).size() == 2; }));

    // While the platform is down, no node may repair groups, so only the members' statuses keep
    // requests off a broken group.
    cluster.setFaults("store", { { "down", true } });
    ASSERT_TRUE(waitUntil([&] { return cluster.logOf(other).contains("planner_lease_untrusted"); }));
    const QJsonObject current = cluster.wholeGroups(other).front();
    const std::string victim = memberOf(current, 1);
    const std::vector<QJsonObject> orders = cluster.effects(memberOf(lost, 0), "order");
    ASSERT_FALSE(orders.empty());
    const QByteArray late = QJsonDocument(orders.front()).toJson();
    const bool checksFencing = std::string(GetParam()) == "1";
    EXPECT_EQ(cluster.call("POST", cluster.urlOf(victim) + "/orders", late).status, checksFencing ? 409 : 200);
    if (!checksFencing) {
        ASSERT_TRUE(waitForBroken(current["epoch"].toDouble()));
        expectNoStart(memberOf(current, 0), current["epoch"].toDouble());
    }
    cluster.setFaults("store", { { "down", false } });
    EXPECT_TRUE(waitUntil([&] { return isEveryInstanceInOneWholeGroup(2); }));
}

INSTANTIATE_TEST_SUITE_P(Fencing, PausedPlanner, testing::Values("1", "0"), [](const auto& parameter) { return std::string(parameter.param) == "1" ? "Checked" : "Ignored"; });

// The platform writes the planner's key, but its response is lost.
TEST_F(GroupsProcess, RecognisesItsOwnLeaseAfterALostAnswer)
{
    cluster.startStore();
    cluster.startEngines({ .count = 2, .domain = "a", .fabric = "a1" });
    cluster.setFaults("store", { { "lose_answers", 1 } });
    cluster.startNode({ .name = "n1", .domain = "a", .settings = "[timing]\nlease_ttl_ms = 86400000\n" });
    ASSERT_TRUE(waitUntil([&] { return !cluster.effects("store", "put").empty(); }));
    ASSERT_EQ(cluster.publish(makeServiceFile(2)), 0);
    EXPECT_TRUE(cluster.waitForGroups("n1", 1));
    EXPECT_TRUE(cluster.logOf("n1").contains("planner_lease_recognised"));
}

} // namespace hemlockweir
