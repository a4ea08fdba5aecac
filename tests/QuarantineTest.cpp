// The quarantine's decisions, without sockets.

#include "quarantine/Quarantine.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace hemlockweir {

namespace {

    Millis now { 0 };

    Quarantine::Options makeOptions()
    {
        return { .clock = [] { return now; }, .ownsGroup = [](const std::string& group) { return group.starts_with("own"); } };
    }

    // A message with few different deaths, so that they repeat.
    rc::Gen<Suspects> genMessage()
    {
        const auto row = rc::gen::build<DeathRow>(rc::gen::set(&DeathRow::fingerprint, rc::gen::inRange<uint64_t>(0, 3)),
            rc::gen::set(&DeathRow::death, rc::gen::inRange<uint64_t>(0, 3)), rc::gen::set(&DeathRow::cleared, rc::gen::arbitrary<bool>()),
            rc::gen::set(&DeathRow::ageMs, rc::gen::inRange<uint32_t>(0, 1000000)));
        return rc::gen::build<Suspects>(rc::gen::set(&Suspects::deaths, rc::gen::container<std::vector<DeathRow>>(row)));
    }

} // namespace

TEST(QuarantineProperty, MergesInAnyOrderAndAnyNumberOfTimes)
{
    EXPECT_TRUE(rc::check("merge is commutative and idempotent", [] {
        const Suspects a = *genMessage();
        const Suspects b = *genMessage();
        Quarantine first(makeOptions());
        first.merge("a", a);
        first.merge("b", b);
        Quarantine second(makeOptions());
        second.merge("b", b);
        second.merge("a", a);
        second.merge("b", b);
        RC_ASSERT(first.rows() == second.rows());
    }));
}

TEST(QuarantineProperty, RefusesOnlyAfterEnoughDifferentDeaths)
{
    EXPECT_TRUE(rc::check("fewer deaths than the limit refuse nothing", [] {
        Quarantine quarantine(makeOptions());
        const std::vector<Suspects> messages = *rc::gen::container<std::vector<Suspects>>(genMessage());
        std::map<uint64_t, std::set<uint64_t>> deaths;
        for (const Suspects& message : messages) {
            quarantine.merge("peer", message);
            for (const DeathRow& row : message.deaths)
                deaths[row.fingerprint].insert(row.death);
        }
        for (const auto& [fingerprint, different] : deaths) {
            if (different.size() < 2)
                RC_ASSERT(!quarantine.isQuarantined(fingerprint));
        }
    }));
}

TEST(QuarantineTest, CountsADeathOnceThoughTwoNodesSawIt)
{
    Quarantine first(makeOptions());
    Quarantine second(makeOptions());
    first.addDeath(1, 10);
    second.addDeath(1, 10);
    first.merge("second", second.makeMessage());
    EXPECT_TRUE(first.isSuspect(1));
    EXPECT_FALSE(first.isQuarantined(1));
    second.addDeath(1, 11);
    first.merge("second", second.makeMessage());
    EXPECT_TRUE(first.isQuarantined(1));
}

TEST(QuarantineTest, ForgetsDeathsThatExpireOrAreCleared)
{
    Quarantine quarantine(makeOptions());
    quarantine.addDeath(1, 10);
    quarantine.clear(1);
    EXPECT_FALSE(quarantine.isSuspect(1));
    quarantine.addDeath(2, 10);
    quarantine.addDeath(2, 11);
    EXPECT_TRUE(quarantine.isQuarantined(2));
    now += Millis(600001);
    EXPECT_FALSE(quarantine.isSuspect(2));
}

TEST(QuarantineTest, KeepsSuspectsApart)
{
    Quarantine quarantine(makeOptions());
    EXPECT_EQ(quarantine.reserve({ "other", "own1", "own2" }, "a"), "own1");
    EXPECT_EQ(quarantine.reserve({ "other", "own1", "own2" }, "b"), "own2");
    EXPECT_EQ(quarantine.reserve({ "other", "own1", "own2" }, "c"), std::nullopt);
    quarantine.release("a");
    quarantine.merge("peer", { .deaths = {}, .groups = { "other" } });
    EXPECT_EQ(quarantine.reserve({ "other" }, "c"), std::nullopt);
    EXPECT_EQ(quarantine.reserve({ "other", "own1", "own2" }, "c"), "own1");
}

TEST(QuarantineTest, AnnouncesAGroupOfAnotherNodeBeforeItIsUsed)
{
    Quarantine quarantine(makeOptions());
    EXPECT_EQ(quarantine.reserve({ "other1", "other2" }, "a"), std::nullopt);
    ASSERT_EQ(quarantine.makeMessage().groups, std::vector<std::string> { "other1" });
    // A peer announced the same group within the time: both give it up.
    quarantine.merge("peer", { .deaths = {}, .groups = { "other1" } });
    now += Millis(1000);
    EXPECT_EQ(quarantine.reserve({ "other1", "other2" }, "a"), std::nullopt);
    EXPECT_EQ(quarantine.makeMessage().groups, std::vector<std::string> { "other2" });
    now += Millis(1000);
    EXPECT_EQ(quarantine.reserve({ "other1", "other2" }, "a"), "other2");
}

} // namespace hemlockweir
