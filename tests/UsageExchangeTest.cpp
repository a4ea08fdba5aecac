#include "gateway/UsageExchange.h"

#include "support/Cluster.h"
#include "support/ScriptedEndpoint.h"

#include <glog/logging.h>
#include <gtest/gtest.h>
#include <set>
#include <unistd.h>

// Tests the usage that nodes send each other, over real sockets, across restarts.

using namespace hemlockweir;

namespace {

class UsageExchangeTest : public testing::Test {
protected:
    // A node that runs `running` requests on one target.
    std::unique_ptr<UsageExchange> makeNode(const std::string& name, uint16_t port, uint32_t running, uint64_t incarnation)
    {
        auto node = std::make_unique<UsageExchange>(context_,
            UsageExchange::Options {
                .clock = clock_,
                .random = [incarnation] { return incarnation; },
                .node = name,
                .address = { .address = address_, .port = port },
                .ownUsage = [running] { return PeerUsage { .byTarget = { { 1, { .running = running } } } }; },
                .onUsage = [this](const std::string& from, const PeerUsage& usage) { received_[from] = usage.byTarget.at(1).running; },
                .onCrash = [this](const CrashReport& crash, Millis age) { crashes_.push_back(crash); ages_.push_back(age); },
                .ownBlocks = [name] { return name == "a" ? std::vector<uint64_t> { 11, 12 } : std::vector<uint64_t>(); },
                .onBlock = [this](uint64_t blocked) { blocks_.insert(blocked); },
                .onSoundPart = [this](uint64_t part) { soundParts_.push_back(part); },
                .takeLimitReports = [this] { return limits_; },
                .onLimits = [this](const std::string& from, const std::vector<LimitReport>& reports) { receivedLimits_[from] = reports; },
                .ownOrganisations = [name] { return name == "a" ? std::vector<OrganisationUse> { { 5, 1200 }, { 6, 40 } } : std::vector<OrganisationUse>(); },
                .onOrganisations = [this](const std::string& from, const std::vector<OrganisationUse>& uses) { organisations_[from] = uses; },
            },
            log_);
        CHECK(node->start().ok());
        node->setPeers({ { .node = "a", .address = address_ + ":" + std::to_string(portA) }, { .node = "b", .address = address_ + ":" + std::to_string(portB) } });
        return node;
    }

    static constexpr uint16_t portA = 17531;
    static constexpr uint16_t portB = 17532;

    const std::string address_ = loopbackAddressOf(static_cast<unsigned>(getpid())); // tests run in parallel
    boost::asio::io_context context_;
    Clock clock_ = makeSteadyClock();
    DecisionLog log_ { { .clock = clock_, .descriptor = -1 } };
    std::map<std::string, uint32_t> received_; // requests on the target, by the node that reported them
    std::vector<CrashReport> crashes_;
    std::vector<Millis> ages_; // of the crashes
    std::set<uint64_t> blocks_;
    std::vector<uint64_t> soundParts_;
    std::vector<LimitReport> limits_; // that each node tells
    std::map<std::string, std::vector<LimitReport>> receivedLimits_; // by the node that told them
    std::map<std::string, std::vector<OrganisationUse>> organisations_; // by the node that told them
};

TEST_F(UsageExchangeTest, PeersLearnTheLimitsOfEndpoints)
{
    limits_ = { { .target = 3, .startedAtMs = 1796396177797, .perSecond = 3.2, .age = Millis(20), .sent = 7 } };
    const auto receiver = makeNode("b", portB, 0, 1);
    const auto sender = makeNode("a", portA, 0, 2);
    runUntil(context_, [&] { return receivedLimits_.count("a") > 0; });
    EXPECT_EQ(receivedLimits_["a"], limits_);
}

TEST_F(UsageExchangeTest, PeersLearnTheUseOfOrganisations)
{
    const auto receiver = makeNode("b", portB, 0, 1);
    const auto sender = makeNode("a", portA, 0, 2);
    runUntil(context_, [&] { return organisations_.count("a") > 0; });
    EXPECT_EQ(organisations_["a"], (std::vector<OrganisationUse> { { 5, 1200 }, { 6, 40 } }));
}

// As many limits as a message can't hold must not keep the usage from the other nodes, nor may one that is no number.
TEST_F(UsageExchangeTest, TooManyOrUnreadableLimitsDoNotStopTheUsage)
{
    limits_.push_back({ .target = 1, .perSecond = std::numeric_limits<double>::quiet_NaN() });
    for (uint32_t i = 0; i < 1000; ++i)
        limits_.push_back({ .target = i, .perSecond = 1 });
    const auto receiver = makeNode("b", portB, 0, 1);
    const auto sender = makeNode("a", portA, 5, 2);
    runUntil(context_, [&] { return received_["a"] == 5; });
    EXPECT_EQ(receivedLimits_["a"].size(), UsageMessage::maxLimits - 1);
}

TEST_F(UsageExchangeTest, PeersLearnWhatCrashesEndpointsAndWhatIsSound)
{
    const auto receiver = makeNode("b", portB, 0, 1);
    const auto sender = makeNode("a", portA, 0, 2);
    const CrashReport crash { .subject = { .request = 7, .sharedParts = { 0, 200 } }, .endpoint = 3 };
    sender->addCrash(crash);
    sender->addSoundPart(100);
    runUntil(context_, [&] { return crashes_.size() >= 3 && soundParts_.size() >= 3; });
    EXPECT_EQ(crashes_, std::vector<CrashReport>(3, crash));
    EXPECT_EQ(soundParts_, std::vector<uint64_t>(3, 100));
    EXPECT_EQ(blocks_, (std::set<uint64_t> { 11, 12 })) << "also to a node that started after they were found";
}

// Only the first eight parts of a prompt reached the other nodes. Later messages must not look like further crashes.
TEST_F(UsageExchangeTest, PeersLearnAllSuspectedPartsOfALongPrompt)
{
    const auto receiver = makeNode("b", portB, 0, 1);
    const auto sender = makeNode("a", portA, 0, 2);
    std::vector<uint64_t> parts(1000, 0);
    parts[8] = 208;
    for (size_t position = 100; position < parts.size(); ++position)
        parts[position] = 1000 + position;
    const Millis addedAt = clock_();
    sender->addCrash({ .subject = { .request = 7, .sharedParts = parts }, .endpoint = 3 });
    std::set<uint64_t> received;
    runUntil(context_, [&] {
        for (const CrashReport& crash : crashes_)
            received.insert(crash.subject.sharedParts.begin(), crash.subject.sharedParts.end());
        return received.size() == 902; // with 0
    });
    EXPECT_TRUE(std::all_of(crashes_.begin(), crashes_.end(), [&](const CrashReport& crash) { return std::equal(crash.subject.sharedParts.begin(), crash.subject.sharedParts.end(), parts.begin(), [](uint64_t got, uint64_t part) { return got == 0 || got == part; }); })) << "in their places";
    EXPECT_GE(ages_.back(), Millis(60)) << "it took several messages";
    EXPECT_LE(ages_.back(), clock_() - addedAt);
}

// As many reports as an outage of many endpoints brings must not keep the usage from the other nodes.
TEST_F(UsageExchangeTest, ReportsBeyondTheLimitsOfAMessageDoNotStopTheUsage)
{
    const auto receiver = makeNode("b", portB, 0, 1);
    const auto sender = makeNode("a", portA, 5, 2);
    for (uint64_t i = 0; i < 500; ++i) {
        sender->addCrash({ .subject = { .request = i, .sharedParts = std::vector<uint64_t>(CrashRow::maxParts, i) }, .endpoint = 1 });
        sender->addSoundPart(i);
    }
    runUntil(context_, [&] { return received_["a"] == 5 && soundParts_.size() >= 1500; });
}

// Sequences once began at the time of day, which may jump. After a restart under a clock that had jumped back, the other
// nodes ignored a node's usage until the clock had caught up.
TEST_F(UsageExchangeTest, RestartedNodeIsHeardWhateverItsSequence)
{
    const auto receiver = makeNode("b", portB, 0, 1);
    for (const uint64_t incarnation : { 6, 5, 9, 2 }) {
        const auto running = static_cast<uint32_t>(incarnation);
        const auto sender = makeNode("a", portA, running, incarnation);
        runUntil(context_, [&] { return received_["a"] == running; });
    }
}

TEST(UsageSequenceTest, AcceptsEachMessageOfAProcessOnceAndInOrder)
{
    UsageSequence sequence;
    const uint64_t start = UsageSequence::start([] { return uint64_t { 7 }; });
    EXPECT_TRUE(sequence.accept(start + 1));
    EXPECT_TRUE(sequence.accept(start + 3));
    EXPECT_FALSE(sequence.accept(start + 3));
    EXPECT_FALSE(sequence.accept(start + 2));
}

TEST(UsageSequenceTest, LateMessageOfTheProcessBeforeIsIgnored)
{
    UsageSequence sequence;
    const uint64_t before = UsageSequence::start([] { return uint64_t { 9 }; });
    const uint64_t after = UsageSequence::start([] { return uint64_t { 4 }; });
    EXPECT_TRUE(sequence.accept(before + 1));
    EXPECT_TRUE(sequence.accept(after + 1));
    EXPECT_FALSE(sequence.accept(before + 2));
    EXPECT_TRUE(sequence.accept(after + 2));
}

} // namespace
