#include "support/FakeFleet.h"

#include <gtest/gtest.h>

using namespace hemlockweir;

static ReplicaChooser makeChooser(uint64_t seed = 1)
{
    return ReplicaChooser({ .domain = "a", .random = makeSeededRandom(seed) });
}

static std::vector<Replica> inDomains(const std::vector<std::string>& domains, uint32_t slots)
{
    std::vector<Replica> all;
    for (const std::string& domain : domains) {
        const std::vector<Replica> some = makeReplicas(1, slots, domain);
        all.insert(all.end(), some.begin(), some.end());
    }
    return all;
}

TEST(Routing, StaysInTheFailureDomainWhileItIsAsGood)
{
    ReplicaChooser chooser = makeChooser();
    chooser.setReplicas(inDomains({ "b", "a", "c" }, 4), {}, Millis(0));
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(chooser.choose({ .rank = 1 }, Millis(0)).replica->domain, "a");
    for (int i = 0; i < 4; ++i)
        chooser.noteGranted({}, "a-g0");
    EXPECT_NE(chooser.choose({ .rank = 1 }, Millis(0)).replica->domain, "a");
}

TEST(Routing, AvoidsGroupsThatFailedTheJob)
{
    ReplicaChooser chooser = makeChooser();
    chooser.setReplicas(inDomains({ "a", "b" }, 4), {}, Millis(0));
    EXPECT_EQ(chooser.choose({ .rank = 1, .avoidGroups = { "a-g0" } }, Millis(0)).replica->group, "b-g0");
    EXPECT_EQ(chooser.choose({ .rank = 1, .avoidGroups = { "a-g0", "b-g0" } }, Millis(0)).replica, nullptr);
}

TEST(Routing, AvoidsASlowReplicaAndTriesItAgainLater)
{
    ReplicaChooser chooser = makeChooser();
    chooser.setReplicas(makeReplicas(4, 100), {}, Millis(0));
    for (int i = 0; i < 20; ++i) {
        for (const char* group : { "a-g0", "a-g1", "a-g2", "a-g3" }) {
            const bool isSlow = std::string(group) == "a-g0";
            chooser.noteFirstToken(group, Millis(isSlow ? 400 : 40), Millis(0));
        }
    }
    const auto countOf = [&](Millis now) {
        int count = 0;
        for (int i = 0; i < 100; ++i)
            count += chooser.choose({ .rank = 1, .cost = 10 }, now).replica->group == "a-g0" ? 1 : 0;
        return count;
    };
    EXPECT_EQ(countOf(Millis(0)), 0);
    EXPECT_GT(countOf(Millis(60000)), 0);
}

TEST(Routing, ALateReportOfFinishedWorkDoesNotFillAReplica)
{
    ReplicaChooser chooser = makeChooser();
    std::vector<Replica> replicas = makeReplicas(1, 4);
    for (int i = 0; i < 200; ++i) {
        // The jobs of this node fill all slots, and the reports say so. The last one still does after the jobs ended.
        replicas[0].running = 4;
        replicas[0].reportedAt = Millis(20 * i);
        if (i == 0) {
            for (int job = 0; job < 4; ++job)
                chooser.noteGranted({}, "a-g0");
        }
        chooser.setReplicas(replicas, {}, Millis(20 * i));
    }
    for (int job = 0; job < 4; ++job)
        chooser.noteFinished("a-g0", Millis(100), Millis(0), 10, Millis(4000));
    replicas[0].reportedAt = Millis(4010);
    chooser.setReplicas(replicas, {}, Millis(4010));
    EXPECT_NE(chooser.choose({ .rank = 1 }, Millis(4010)).replica, nullptr);
}

TEST(Routing, UnattributedWorkIsEstimatedFromReports)
{
    ReplicaChooser chooser = makeChooser();
    std::vector<Replica> replicas = makeReplicas(2, 4);
    for (int i = 0; i < 50; ++i) {
        replicas[0].running = 4;
        replicas[0].reportedAt = Millis(300 * i + 1);
        chooser.setReplicas(replicas, { .count = 4, .position = 0 }, Millis(300 * i + 1));
    }
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(chooser.choose({ .rank = 1 }, Millis(15000)).replica->group, "a-g1");
}

TEST(Routing, NodesWithTheSameViewDoNotHerd)
{
    std::map<std::string, int> chosen;
    for (uint64_t node = 1; node <= 100; ++node) {
        ReplicaChooser chooser = makeChooser(node);
        chooser.setReplicas(makeReplicas(10, 4), {}, Millis(0));
        ++chosen[chooser.choose({ .rank = 1 }, Millis(0)).replica->group];
    }
    EXPECT_EQ(chosen.size(), 10U);
    for (const auto& [group, count] : chosen)
        EXPECT_LT(count, 40);
}

TEST(Routing, FindsAFreedSlotInALargeFleet)
{
    ReplicaChooser chooser = makeChooser();
    chooser.setReplicas(makeReplicas(1500, 1), {}, Millis(0));
    for (int i = 0; i < 1500; ++i)
        chooser.noteGranted({}, "a-g" + std::to_string(i));
    EXPECT_EQ(chooser.choose({ .rank = 1 }, Millis(0)).replica, nullptr);
    chooser.noteFinished("a-g777", Millis(100), Millis(0), 10, Millis(0));
    EXPECT_EQ(chooser.choose({ .rank = 1 }, Millis(0)).replica->group, "a-g777");
}

TEST(Routing, PrefersTheReplicaWithTheCachedPrefixUnlessItIsFull)
{
    ReplicaChooser chooser = makeChooser();
    chooser.setReplicas(makeReplicas(6, 4), {}, Millis(0));
    for (const Replica& replica : makeReplicas(6, 4))
        chooser.noteFirstToken(replica.group, Millis(100), Millis(0));
    const std::string page(640, 'x');
    const Job first { .rank = 1, .prefix = hashPrefix(page + "one question that is long enough to fill a block of its own, at the end of the prompt") };
    const Job second { .rank = 1, .prefix = hashPrefix(page + "another question, as long as the first, that shares with it only the page before it") };
    chooser.noteGranted(first, "a-g4");
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(chooser.choose(second, Millis(0)).replica->group, "a-g4");
        chooser.noteGranted(second, "a-g4");
    }
    EXPECT_NE(chooser.choose(second, Millis(0)).replica->group, "a-g4");
}

TEST(Affinity, IsBoundedAndForgetsTheOldest)
{
    AffinityTable table(10);
    for (uint64_t i = 1; i <= 100; ++i)
        table.record({ i }, "g" + std::to_string(i));
    EXPECT_EQ(table.size(), 10U);
    EXPECT_FALSE(table.find({ 1 }));
    EXPECT_EQ(table.find({ 100, 7 }), (Affinity { .group = "g100", .fraction = 0.5 }));
}
