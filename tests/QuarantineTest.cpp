// Tests the decisions of Quarantine without sockets.

#include "base/Rendezvous.h"
#include "quarantine/SuspectExchange.h"

#include <deque>
#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace hemlockweir {

namespace {

    Millis now { 0 };

    Quarantine::Options makeOptions()
    {
        return { .node = "self", .clock = [] { return now; }, .ownsGroup = [](const std::string& group) { return group.starts_with("own"); } };
    }

    // Generates a message with few distinct deaths, so that duplicates occur.
    rc::Gen<Suspects> genMessage()
    {
        const auto row = rc::gen::build<DeathRow>(rc::gen::set(&DeathRow::fingerprint, rc::gen::inRange<uint64_t>(0, 3)),
            rc::gen::set(&DeathRow::deathId, rc::gen::inRange<uint64_t>(0, 3)), rc::gen::set(&DeathRow::cleared, rc::gen::arbitrary<bool>()),
            rc::gen::set(&DeathRow::ageMs, rc::gen::inRange<uint32_t>(0, 1000000)));
        return rc::gen::build<Suspects>(rc::gen::set(&Suspects::deaths, rc::gen::container<std::vector<DeathRow>>(row)));
    }

    // Simulates nodes that all try to reserve groups for their suspects at the same times, every
    // 50 ms. Their messages arrive after a delay.
    class Fleet {
    public:
        static constexpr Millis step { 50 };
        static constexpr Millis heartbeat { 200 };

        struct Options {
            size_t nodes = 2;
            std::vector<std::string> groups;
            size_t suspectsPerNode = 1;
            Millis delay { 0 }; // ms of delay of each message
            Millis runTime { 1000 }; // ms that a suspect uses its group
            bool areOwnersInFleet = false; // otherwise every group is owned by a node outside the fleet
        };

        explicit Fleet(Options options)
            : options_(std::move(options))
        {
            std::vector<std::string> names;
            for (size_t i = 0; i < options_.nodes; ++i)
                names.push_back("n" + std::to_string(i));
            for (const std::string& name : names)
                addNode(name, names);
        }

        // Runs one step. Returns false if two suspects use one group.
        bool advance()
        {
            now += step;
            while (!undelivered_.empty() && undelivered_.front().at <= now)
                deliver();
            if (now.count() % heartbeat.count() == 0) {
                for (Node& node : nodes_)
                    node.exchange->publish();
            }
            for (Node& node : nodes_)
                runSuspects(node);
            std::set<std::string> used;
            for (const Node& node : nodes_) {
                for (const Suspect& suspect : node.suspects) {
                    if (!suspect.isFinished && suspect.group && !used.insert(*suspect.group).second)
                        return false;
                }
            }
            return true;
        }

        bool isFinished() const
        {
            return std::all_of(nodes_.begin(), nodes_.end(), [](const Node& node) {
                return std::all_of(node.suspects.begin(), node.suspects.end(), [](const Suspect& suspect) { return suspect.isFinished; });
            });
        }

    private:
        struct Suspect {
            std::string run;
            std::optional<std::string> group;
            Millis endsAt { 0 };
            bool isFinished = false;
        };

        struct Node {
            std::string name;
            std::unique_ptr<Quarantine> quarantine;
            std::unique_ptr<SuspectExchange> exchange;
            std::vector<Suspect> suspects;
        };

        struct Message {
            Millis at { 0 };
            std::string sender;
            Suspects body;
        };

        void addNode(const std::string& name, const std::vector<std::string>& names)
        {
            Node node { .name = name, .quarantine = nullptr, .exchange = nullptr, .suspects = {} };
            const size_t index = nodes_.size();
            node.quarantine = std::make_unique<Quarantine>(Quarantine::Options {
                .node = name,
                .clock = [] { return now; },
                .ownsGroup = [this, name, names](const std::string& group) { return options_.areOwnersInFleet && pickByRendezvous(names, Quarantine::roleOf(group), 1).front() == name; },
                .onChange = [this, index] { nodes_[index].exchange->publish(); },
            });
            node.exchange = std::make_unique<SuspectExchange>(*node.quarantine, [this, name](const Suspects& body) { undelivered_.push_back({ .at = now + options_.delay, .sender = name, .body = body }); });
            for (size_t i = 0; i < options_.suspectsPerNode; ++i)
                node.suspects.push_back({ .run = name + "-" + std::to_string(i), .group = {}, .endsAt = {}, .isFinished = false });
            nodes_.push_back(std::move(node));
        }

        void deliver()
        {
            const Message message = undelivered_.front();
            undelivered_.pop_front();
            for (Node& node : nodes_) {
                if (node.name != message.sender)
                    node.quarantine->merge(message.sender, message.body);
            }
        }

        void runSuspects(Node& node)
        {
            for (Suspect& suspect : node.suspects) {
                if (suspect.isFinished)
                    continue;
                if (!suspect.group) {
                    suspect.group = node.quarantine->reserve(options_.groups, suspect.run);
                    suspect.endsAt = now + options_.runTime;
                } else if (now >= suspect.endsAt) {
                    node.quarantine->release(suspect.run);
                    suspect.isFinished = true;
                }
            }
        }

        Options options_;
        std::vector<Node> nodes_;
        std::deque<Message> undelivered_;
    };

    // Bound on the time from the release of a group to its use by a waiting suspect: one message, one
    // announcement, and a second announcement in case the node first yielded to a peer that then
    // reserved another group.
    constexpr Millis maxHandoverTime { 3000 };

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
        RC_ASSERT(first.deaths() == second.deaths());
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
                deaths[row.fingerprint].insert(row.deathId);
        }
        for (const auto& [fingerprint, different] : deaths) {
            if (different.size() < 2)
                RC_ASSERT(!quarantine.isQuarantined(fingerprint));
        }
    }));
}

TEST(QuarantineProperty, RunsEverySuspectApartAndSoon)
{
    EXPECT_TRUE(rc::check("one suspect a group, and no free group waits", [] {
        Fleet::Options options;
        options.nodes = *rc::gen::inRange<size_t>(1, 5);
        const size_t groups = *rc::gen::inRange<size_t>(1, 5);
        for (size_t i = 0; i < groups; ++i)
            options.groups.push_back("g" + std::to_string(i));
        options.suspectsPerNode = *rc::gen::inRange<size_t>(1, 4);
        options.delay = Fleet::step * *rc::gen::inRange(0, 5);
        options.runTime = Fleet::step * *rc::gen::inRange(1, 60);
        options.areOwnersInFleet = *rc::gen::arbitrary<bool>();
        Fleet fleet(options);
        const size_t suspects = options.nodes * options.suspectsPerNode;
        const Millis end = now + static_cast<int>(suspects) * (options.runTime + maxHandoverTime);
        while (!fleet.isFinished() && now < end)
            RC_ASSERT(fleet.advance());
        RC_ASSERT(fleet.isFinished());
    }));
}

TEST(QuarantineTest, MakesProgressWithTwoNodesInLockstepAndOneGroup)
{
    Fleet fleet({ .nodes = 2, .groups = { "g" }, .suspectsPerNode = 1, .delay = Millis(100) });
    const Millis end = now + 2 * (Millis(1000) + maxHandoverTime);
    while (!fleet.isFinished() && now < end)
        ASSERT_TRUE(fleet.advance());
    EXPECT_TRUE(fleet.isFinished());
}

TEST(QuarantineTest, UsesGroupsOfOtherNodesWhenItsOwnAreTaken)
{
    Quarantine quarantine(makeOptions());
    ASSERT_EQ(quarantine.reserve({ "own1", "other" }, "a"), "own1");
    EXPECT_EQ(quarantine.reserve({ "own1", "other" }, "b"), std::nullopt);
    now += Millis(1000);
    EXPECT_EQ(quarantine.reserve({ "own1", "other" }, "b"), "other");
}

TEST(QuarantineTest, ExpiresReservationsThatAPeerDoesNotRepeat)
{
    Quarantine quarantine(makeOptions());
    quarantine.merge("peer", { .deaths = {}, .groups = { "own1" } });
    EXPECT_EQ(quarantine.reserve({ "own1" }, "a"), std::nullopt);
    now += Millis(5001);
    EXPECT_EQ(quarantine.reserve({ "own1" }, "a"), "own1");
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
    // A peer reserves the same group during the announcement, so this node yields and announces another.
    quarantine.merge("peer", { .deaths = {}, .groups = { "other1" } });
    now += Millis(1000);
    EXPECT_EQ(quarantine.reserve({ "other1", "other2" }, "a"), std::nullopt);
    EXPECT_EQ(quarantine.makeMessage().groups, std::vector<std::string> { "other2" });
    now += Millis(1000);
    EXPECT_EQ(quarantine.reserve({ "other1", "other2" }, "a"), "other2");
}

} // namespace hemlockweir
