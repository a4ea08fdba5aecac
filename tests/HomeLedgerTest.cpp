// Tests keys bound to a node: the ledger of the home node and the client that claims there.

#include "ledger/HomeLedger.h"
#include "ledger/HomeClient.h"
#include "support/Wait.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <set>

namespace hemlockweir {

namespace {

    constexpr char clusterKey[] = "a key for tests only";

    // A home ledger with a fake clock that can be restarted.
    struct Home {
        Millis now { 1 };
        uint64_t starts = 0;
        HomeLedger::Options limits;
        std::unique_ptr<HomeLedger> ledger;

        explicit Home(HomeLedger::Options options = {})
            : limits(std::move(options))
        {
            restart();
        }

        void restart()
        {
            HomeLedger::Options options = limits;
            options.home = "127.0.0.1:1";
            options.start = ++starts;
            options.clusterKey = clusterKey;
            options.clock = [this] { return now; };
            options.random = makeSeededRandom(starts);
            ledger = std::make_unique<HomeLedger>(options);
        }

        std::string issue(const std::string& caller = "caller") { return ledger->issue(caller).value_or("").toStdString(); }

        HomeVerdict claim(const std::string& key, const std::string& attempt, const std::string& hash = "hash", const std::string& caller = "caller")
        {
            return ledger->claim({ .key = key, .caller = caller, .attempt = attempt, .requestHash = hash }, "node").verdict;
        }

        HomeVerdict settle(const std::string& key, const std::string& attempt, bool ran, const std::string& body = "{}")
        {
            return ledger->settle({ .key = key, .caller = "caller", .attempt = attempt, .ran = ran, .answer = { .isStored = ran, .status = 200, .contentType = "application/json", .body = body } }).verdict;
        }
    };

} // namespace

TEST(BoundKeyTest, IsReadBackForItsCallerOnly)
{
    const BoundKey key { .home = "127.0.0.1:7000", .start = 1, .issuedAtMs = 2, .nonce = 3 };
    const QByteArray text = formatBoundKey(key, "caller", clusterKey);
    EXPECT_TRUE(hasBoundKeyPrefix(text));
    EXPECT_LE(text.size(), maxBoundKeyLength);
    EXPECT_EQ(parseBoundKey(text, "caller", clusterKey).value_or(BoundKey {}), key);
    EXPECT_FALSE(parseBoundKey(text, "other", clusterKey).ok());
    EXPECT_FALSE(parseBoundKey(text, "caller", "another key for tests").ok());
}

TEST(BoundKeyTest, IsRefusedWhenAnyCharacterIsChanged)
{
    EXPECT_TRUE(rc::check("an altered key is refused", [] {
        const QByteArray text = formatBoundKey({ .home = "127.0.0.1:7000", .start = *rc::gen::arbitrary<uint64_t>(), .issuedAtMs = 2, .nonce = *rc::gen::arbitrary<uint64_t>() }, "caller", clusterKey);
        QByteArray altered = text;
        const int at = *rc::gen::inRange<int>(0, static_cast<int>(text.size()));
        altered[at] = *rc::gen::arbitrary<char>();
        const QByteArray cut = text.left(at);
        RC_ASSERT(altered == text || !parseBoundKey(altered, "caller", clusterKey).ok());
        RC_ASSERT(!parseBoundKey(cut, "caller", clusterKey).ok());
    }));
}

TEST(HomeLedgerTest, GrantsAKeyOnceAndGivesItsAnswerLater)
{
    Home home;
    const std::string key = home.issue();
    EXPECT_EQ(home.claim(key, "1"), HomeVerdict::Granted);
    EXPECT_EQ(home.claim(key, "2"), HomeVerdict::Running);
    EXPECT_EQ(home.claim(key, "2", "other"), HomeVerdict::Mismatch);
    EXPECT_EQ(home.claim(key, "1"), HomeVerdict::Granted) << "sent again after a lost answer";
    EXPECT_EQ(home.settle(key, "1", true), HomeVerdict::OutcomeRecorded);
    EXPECT_EQ(home.claim(key, "2"), HomeVerdict::Finished);
}

TEST(HomeLedgerTest, GrantsAgainOnlyWhatDidNotRun)
{
    Home home;
    const std::string key = home.issue();
    EXPECT_EQ(home.claim(key, "1"), HomeVerdict::Granted);
    home.settle(key, "2", false);
    EXPECT_EQ(home.claim(key, "3"), HomeVerdict::Running) << "the outcome of another attempt does not release it";
    home.settle(key, "1", false);
    EXPECT_EQ(home.claim(key, "3"), HomeVerdict::Granted);
}

TEST(HomeLedgerTest, DoesNotGrantAnAttemptThatWasCancelledBefore)
{
    Home home;
    const std::string key = home.issue();
    home.settle(key, "late", false);
    EXPECT_EQ(home.claim(key, "late"), HomeVerdict::Running);
    EXPECT_EQ(home.claim(key, "2"), HomeVerdict::Granted);
}

TEST(HomeLedgerTest, ReportsKeysOfAnotherStartAndExpiredKeysAsLost)
{
    Home home;
    const std::string early = home.issue();
    home.restart();
    EXPECT_EQ(home.claim(early, "1"), HomeVerdict::Lost);
    const std::string key = home.issue();
    home.now += home.ledger->keyLifetime() - Millis(1);
    EXPECT_EQ(home.claim(key, "1"), HomeVerdict::Granted);
    home.now += Millis(1);
    EXPECT_EQ(home.claim(key, "1"), HomeVerdict::Lost);
    EXPECT_EQ(home.ledger->recordCount(), 0U);
}

TEST(HomeLedgerTest, RefusesUnclaimedKeysForGoodWhenFull)
{
    Home home({ .maxRecords = 3, .maxRecordsPerCaller = 2 });
    const std::string late = home.issue();
    const std::string others = home.issue("other");
    EXPECT_EQ(home.claim(home.issue(), "1"), HomeVerdict::Granted);
    EXPECT_EQ(home.claim(home.issue(), "2"), HomeVerdict::Granted);
    EXPECT_EQ(home.issue(), "");
    EXPECT_EQ(home.claim(late, "3"), HomeVerdict::Refused);
    EXPECT_EQ(home.claim(others, "4", "hash", "other"), HomeVerdict::Granted) << "one caller cannot use up the capacity of the others";
    home.now += home.ledger->keyLifetime() - Millis(1);
    EXPECT_EQ(home.claim(late, "3"), HomeVerdict::Refused);
}

TEST(HomeLedgerTest, RefusesUnclaimedKeysInAPlannedStop)
{
    Home home;
    const std::string claimed = home.issue();
    const std::string unclaimed = home.issue();
    EXPECT_EQ(home.claim(claimed, "1"), HomeVerdict::Granted);
    home.ledger->drain();
    EXPECT_EQ(home.issue(), "");
    EXPECT_EQ(home.claim(unclaimed, "2"), HomeVerdict::Refused);
    EXPECT_EQ(home.ledger->heldCount(), 1U);
    home.settle(claimed, "1", true);
    EXPECT_EQ(home.ledger->heldCount(), 0U);
    EXPECT_EQ(home.claim(claimed, "2"), HomeVerdict::Finished);
}

TEST(HomeLedgerTest, EvictsTheOldestAnswersButRecordsThatTheyRan)
{
    Home home({ .maxAnswerBytes = 10 });
    const std::string first = home.issue();
    const std::string second = home.issue();
    home.claim(first, "1");
    home.settle(first, "1", true, "12345678");
    home.claim(second, "2");
    home.settle(second, "2", true, "12345678");
    EXPECT_EQ(home.claim(first, "3"), HomeVerdict::NotStored);
    EXPECT_EQ(home.claim(second, "3"), HomeVerdict::Finished);
    EXPECT_EQ(home.ledger->answerBytes(), 8U);
}

namespace {

    // Nodes that claim keys at one home over a network that delays, duplicates and loses messages.
    class Interleaving {
    public:
        static constexpr int actions = 10;

        void apply(int action, uint32_t choice)
        {
            switch (action) {
            case 0:
                keys_.push_back(home_.issue(callerOf(choice)));
                callers_[keys_.back()] = callerOf(choice);
                break;
            case 1:
            case 2:
                begin(choice);
                break;
            case 3:
            case 4:
            case 5:
                deliver(choice);
                break;
            case 6:
                if (!wire_.empty())
                    wire_.erase(wire_.begin() + static_cast<long>(choice % wire_.size()));
                break;
            case 7:
                end(choice);
                break;
            case 8:
                home_.now += Millis(choice % (2 * lifetime.count()));
                break;
            case 9:
                drainOrRestart(choice);
                break;
            default:
                break;
            }
        }

        // Returns whether no key ran twice and no refused key ran.
        bool isConsistent() const
        {
            return std::all_of(runs_.begin(), runs_.end(), [this](const auto& row) { return row.second <= (refused_.contains(row.first) ? 0 : 1); });
        }

        size_t runs() const { return runs_.size(); }

    private:
        static constexpr Millis lifetime { 100 };

        struct Attempt {
            std::string key;
            enum { Waiting,
                Running,
                Ended } state
                = Waiting;
        };
        struct Message {
            std::optional<HomeClaim> claim;
            std::optional<HomeOutcome> settle;
            std::optional<HomeAnswer> answer;
        };

        static std::string callerOf(uint32_t choice) { return choice % 2 == 0 ? "caller" : "other"; }

        void begin(uint32_t choice)
        {
            if (keys_.empty())
                return;
            const std::string& key = keys_[choice % keys_.size()];
            const std::string name = std::to_string(attempts_.size());
            attempts_[name] = { .key = key };
            wire_.push_back({ .claim = HomeClaim { .key = key, .caller = callers_[key], .attempt = name, .requestHash = "hash" }, .settle = {}, .answer = {} });
        }

        // Delivers a message that may stay on the wire and be delivered again, also to another
        // start of the home.
        void deliver(uint32_t choice)
        {
            if (wire_.empty())
                return;
            const Message message = wire_[choice % wire_.size()];
            if (message.answer)
                apply(*message.answer);
            else if (message.claim)
                wire_.push_back({ .claim = {}, .settle = {}, .answer = home_.ledger->claim(*message.claim, "node") });
            else
                home_.ledger->settle(*message.settle);
        }

        void apply(const HomeAnswer& answer)
        {
            Attempt& attempt = attempts_.at(answer.attempt);
            if (attempt.state != Attempt::Waiting)
                return;
            attempt.state = answer.verdict == HomeVerdict::Granted ? Attempt::Running : Attempt::Ended;
            if (answer.verdict == HomeVerdict::Granted)
                ++runs_[attempt.key];
            if (answer.verdict == HomeVerdict::Refused)
                refused_.insert(attempt.key);
        }

        // Ends an attempt: a waiting one gives up; a running one completes or reports that it did
        // not run.
        void end(uint32_t choice)
        {
            if (attempts_.empty())
                return;
            auto& [name, attempt] = *std::next(attempts_.begin(), static_cast<long>(choice % attempts_.size()));
            if (attempt.state == Attempt::Ended)
                return;
            const bool ran = attempt.state == Attempt::Running && choice % 3 != 0;
            if (attempt.state == Attempt::Running && !ran)
                --runs_[attempt.key];
            attempt.state = Attempt::Ended;
            wire_.push_back({ .claim = {}, .settle = HomeOutcome { .key = attempt.key, .caller = callers_[attempt.key], .attempt = name, .ran = ran, .answer = { .isStored = true, .status = 200, .contentType = {}, .body = "12345" } }, .answer = {} });
        }

        void drainOrRestart(uint32_t choice)
        {
            if (choice % 4 == 0)
                home_.ledger->drain();
            else if (choice % 4 == 1)
                home_.restart();
        }

        Home home_ { { .keyLifetime = lifetime, .maxRecords = 4, .maxRecordsPerCaller = 3, .maxAnswerBytes = 12 } };
        std::vector<std::string> keys_;
        std::map<std::string, std::string> callers_; // by key
        std::map<std::string, Attempt> attempts_; // by name
        std::vector<Message> wire_;
        std::map<std::string, int> runs_; // by key
        std::set<std::string> refused_;
    };

} // namespace

TEST(HomeLedgerProperty, RunsAKeyAtMostOnce)
{
    size_t runs = 0;
    EXPECT_TRUE(rc::check("no key runs twice, and no refused key runs", [&] {
        Interleaving interleaving;
        const auto steps = *rc::gen::container<std::vector<std::pair<int, uint32_t>>>(200, rc::gen::pair(rc::gen::inRange(0, Interleaving::actions), rc::gen::arbitrary<uint32_t>()));
        for (const auto& [action, choice] : steps) {
            interleaving.apply(action, choice);
            RC_ASSERT(interleaving.isConsistent());
        }
        runs += interleaving.runs();
    }));
    EXPECT_GT(runs, 100U) << "the generated steps must reach enough runs";
}

// Tests the client against a home whose answers can be lost.
class HomeClientTest : public testing::Test {
protected:
    HomeClient makeClient()
    {
        auto answer = [this](const HomeAnswer& real, const HomeClient::Done& done) {
            if (answersLost > 0) {
                --answersLost;
                done(absl::UnavailableError("lost"));
            } else {
                done(real);
            }
        };
        return HomeClient({ .clusterKey = clusterKey,
            .retryDelay = Millis(1),
            .random = makeSeededRandom(1),
            .sendClaim = [this, answer](const std::string&, const HomeClaim& claim, const HomeClient::Done& done) { answer(home.ledger->claim(claim, "node"), done); },
            .sendOutcome = [this, answer](const std::string&, const HomeOutcome& outcome, const HomeClient::Done& done) { answer(home.ledger->settle(outcome), done); } });
    }

    ClaimOutcome claim(HomeClient& client, const std::string& key)
    {
        std::optional<ClaimOutcome> outcome;
        client.claim(requestFor(key), [&](const ClaimResult& result) { outcome = result.outcome; });
        EXPECT_TRUE(outcome.has_value());
        return outcome.value_or(ClaimOutcome::Unavailable);
    }

    static ClaimRequest requestFor(const std::string& key) { return { .caller = "caller", .idempotencyKey = QByteArray::fromStdString(key), .requestHash = "hash" }; }

    Home home;
    int answersLost = 0;
};

TEST_F(HomeClientTest, ReceivesItsGrantAgainAfterALostAnswer)
{
    HomeClient client = makeClient();
    answersLost = 1;
    EXPECT_EQ(claim(client, home.issue()), ClaimOutcome::Granted);
}

TEST_F(HomeClientTest, CancelsAGrantWhoseAnswerWasLost)
{
    HomeClient client = makeClient();
    const std::string key = home.issue();
    answersLost = 4;
    EXPECT_EQ(claim(client, key), ClaimOutcome::Unreachable);
    ASSERT_TRUE(waitUntil([&] { return answersLost == 0; }));
    EXPECT_EQ(claim(client, key), ClaimOutcome::Granted);
}

TEST_F(HomeClientTest, ResendsAnOutcomeUntilTheHomeAcknowledgesIt)
{
    HomeClient client = makeClient();
    const std::string key = home.issue();
    EXPECT_EQ(claim(client, key), ClaimOutcome::Granted);
    answersLost = 3;
    std::optional<bool> isStored;
    client.complete(requestFor(key), { .status = 200, .contentType = "text/plain", .body = "whole" }, [&](bool ok) { isStored = ok; });
    EXPECT_EQ(isStored, false) << "the caller does not wait for the retries";
    ASSERT_TRUE(waitUntil([&] { return answersLost == 0; }));
    EXPECT_EQ(claim(client, key), ClaimOutcome::Finished);
}

TEST_F(HomeClientTest, RefusesKeysThatNoNodeMade)
{
    HomeClient client = makeClient();
    EXPECT_EQ(claim(client, "hemlockweir-1.AAAA.AAAA"), ClaimOutcome::Foreign);
}

} // namespace hemlockweir
