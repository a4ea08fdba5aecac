// Tests the claim ledger and the shared writer against an in-memory store that can lose answers.

#include "ledger/ClaimLedger.h"
#include "ledger/SharedWriter.h"
#include "support/Wait.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace hemlockweir {

namespace {

    enum class Fault {
        None,
        LostAnswer, // the write takes effect but its answer is lost
        Down, // the call fails before it is sent
    };

    // A store whose calls complete immediately. Leases expire by the test's clock.
    struct FakeStore {
        struct Entry {
            KvEntry entry;
            Millis until { 0 };
        };

        std::map<QByteArray, Entry> entries;
        std::map<int64_t, Millis> leases;
        std::function<Fault()> nextFault = [] { return Fault::None; };
        Millis now { 0 };
        int64_t revision = 1;
        int writeCalls = 0;
        int grants = 0;

        KvWriteResult apply(const KvWrite& write)
        {
            const auto found = entries.find(write.key);
            const int64_t current = found == entries.end() ? 0 : found->second.entry.modRevision;
            if (current != write.expectedModRevision)
                return { .applied = false, .revision = revision, .current = found == entries.end() ? KvEntry {} : found->second.entry };
            ++revision;
            entries[write.key] = { .entry = { .key = write.key, .value = write.value, .createRevision = revision, .modRevision = revision }, .until = leases.at(write.lease) };
            return { .applied = true, .revision = revision, .current = {} };
        }

        void expireLeases()
        {
            std::erase_if(entries, [this](const auto& row) { return row.second.until <= now; });
        }

        ClaimStore calls()
        {
            return {
                .writeEach = [this](const std::vector<KvWrite>& writes, const Callback<std::vector<KvWriteResult>>& done) {
                    ++writeCalls;
                    const Fault fault = nextFault();
                    if (fault == Fault::Down) {
                        done(absl::UnavailableError("down"));
                        return;
                    }
                    std::vector<KvWriteResult> results;
                    results.reserve(writes.size());
                    for (const KvWrite& write : writes)
                        results.push_back(apply(write));
                    if (fault == Fault::LostAnswer)
                        done(absl::UnknownError("lost"));
                    else
                        done(results); },
                .get = [this](const QByteArray& key, const Callback<KvRange>& done) {
                    if (nextFault() != Fault::None) {
                        done(absl::UnavailableError("down"));
                        return;
                    }
                    KvRange range;
                    if (entries.contains(key))
                        range.entries.push_back(entries[key].entry);
                    done(range); },
                .compareAndDelete = [this](const QByteArray& key, int64_t modRevision, const Callback<KvWriteResult>& done) {
                    const Fault fault = nextFault();
                    const bool applies = fault != Fault::Down && entries.contains(key) && entries[key].entry.modRevision == modRevision;
                    if (applies)
                        entries.erase(key);
                    if (fault == Fault::None)
                        done(KvWriteResult { .applied = applies, .revision = revision, .current = {} });
                    else
                        done(absl::UnknownError("lost")); },
                .grantLease = [this](std::chrono::seconds ttl, const Callback<int64_t>& done) {
                    if (nextFault() == Fault::Down) {
                        done(absl::UnavailableError("down"));
                        return;
                    }
                    leases[++grants] = now + ttl;
                    done(grants); },
            };
        }
    };

    ClaimLedger::Options makeOptions(FakeStore& store, uint64_t seed)
    {
        return { .owner = "n", .retryDelay = Millis(1), .clock = [&store] { return store.now; }, .random = makeSeededRandom(seed) };
    }

    ClaimRequest makeRequest(const QByteArray& key, const QByteArray& hash = "hash")
    {
        return { .caller = "caller", .idempotencyKey = key, .requestHash = hash };
    }

    ClaimResult claim(ClaimLedger& ledger, const ClaimRequest& request)
    {
        std::optional<ClaimResult> result;
        ledger.claim(request, [&](const ClaimResult& received) { result = received; });
        EXPECT_TRUE(waitUntil([&] { return result.has_value(); }));
        return result.value_or(ClaimResult {});
    }

    // Returns the given faults for the next calls, then none.
    std::function<Fault()> faultSequence(std::vector<Fault> faults)
    {
        return [faults, next = size_t { 0 }]() mutable { return next < faults.size() ? faults[next++] : Fault::None; };
    }

} // namespace

class ClaimLedgerTest : public testing::Test {
protected:
    FakeStore store;
    ClaimLedger first { makeOptions(store, 1), store.calls() };
    ClaimLedger second { makeOptions(store, 2), store.calls() };
};

TEST_F(ClaimLedgerTest, GrantsAKeyOnceAndGivesItsAnswerLater)
{
    const StoredAnswer answer { .status = 200, .contentType = "application/json", .body = "{}" };
    EXPECT_EQ(claim(first, makeRequest("k")).outcome, ClaimOutcome::Granted);
    EXPECT_EQ(claim(second, makeRequest("k")).outcome, ClaimOutcome::Running);
    EXPECT_EQ(claim(second, makeRequest("k", "other")).outcome, ClaimOutcome::Mismatch);
    bool stored = false;
    first.complete(makeRequest("k"), answer, [&](bool ok) { stored = ok; });
    ASSERT_TRUE(waitUntil([&] { return stored; }));
    EXPECT_EQ(claim(second, makeRequest("k")).outcome, ClaimOutcome::Finished);
    EXPECT_EQ(claim(second, makeRequest("k")).answer, answer);
    EXPECT_EQ(first.heldCount(), 0U);
}

TEST_F(ClaimLedgerTest, RecognizesItsOwnClaimAfterALostAnswer)
{
    EXPECT_EQ(claim(first, makeRequest("warm-up")).outcome, ClaimOutcome::Granted);
    store.nextFault = faultSequence({ Fault::LostAnswer });
    EXPECT_EQ(claim(first, makeRequest("k")).outcome, ClaimOutcome::Granted);
}

TEST_F(ClaimLedgerTest, DeletesAClaimThatItCouldNotConfirm)
{
    EXPECT_EQ(claim(first, makeRequest("warm-up")).outcome, ClaimOutcome::Granted);
    store.nextFault = faultSequence({ Fault::LostAnswer, Fault::Down, Fault::Down, Fault::Down });
    EXPECT_EQ(claim(first, makeRequest("k")).outcome, ClaimOutcome::Unavailable);
    ASSERT_TRUE(waitUntil([&] { return first.abandonedCount() == 0; }));
    EXPECT_EQ(claim(second, makeRequest("k")).outcome, ClaimOutcome::Granted);
}

TEST_F(ClaimLedgerTest, ReusesItsOwnAbandonedClaim)
{
    ClaimLedger::Options options = makeOptions(store, 3);
    options.retryDelay = 10 * hangLimit; // the background deletion fails and is not retried
    ClaimLedger ledger(options, store.calls());
    EXPECT_EQ(claim(ledger, makeRequest("warm-up")).outcome, ClaimOutcome::Granted);
    store.nextFault = faultSequence({ Fault::LostAnswer, Fault::Down, Fault::Down, Fault::Down });
    EXPECT_EQ(claim(ledger, makeRequest("k")).outcome, ClaimOutcome::Unavailable);
    EXPECT_EQ(ledger.abandonedCount(), 1U);
    EXPECT_EQ(claim(ledger, makeRequest("k")).outcome, ClaimOutcome::Granted);
    EXPECT_EQ(claim(second, makeRequest("k")).outcome, ClaimOutcome::Running);
}

TEST_F(ClaimLedgerTest, ReleasesAClaimThatDidNotRun)
{
    EXPECT_EQ(claim(first, makeRequest("k")).outcome, ClaimOutcome::Granted);
    store.nextFault = faultSequence({ Fault::Down, Fault::Down });
    first.abandon(makeRequest("k"));
    ASSERT_TRUE(waitUntil([&] { return first.abandonedCount() == 0; }));
    EXPECT_EQ(claim(second, makeRequest("k")).outcome, ClaimOutcome::Granted);
}

TEST_F(ClaimLedgerTest, KeepsEveryClaimForItsRetention)
{
    EXPECT_EQ(claim(first, makeRequest("early")).outcome, ClaimOutcome::Granted);
    store.now += std::chrono::hours(23);
    EXPECT_EQ(claim(first, makeRequest("late")).outcome, ClaimOutcome::Granted);
    store.now += std::chrono::hours(24) - Millis(1);
    store.expireLeases();
    EXPECT_EQ(claim(second, makeRequest("late")).outcome, ClaimOutcome::Running);
    EXPECT_EQ(store.grants, 3);
}

TEST_F(ClaimLedgerTest, ReportsThatALargeAnswerIsNotStored)
{
    EXPECT_EQ(claim(first, makeRequest("k")).outcome, ClaimOutcome::Granted);
    bool stored = false;
    first.complete(makeRequest("k"), { .status = 200, .contentType = {}, .body = QByteArray(100000, 'x') }, [&](bool ok) { stored = ok; });
    ASSERT_TRUE(waitUntil([&] { return stored; }));
    EXPECT_EQ(claim(second, makeRequest("k")).outcome, ClaimOutcome::NotStored);
}

TEST_F(ClaimLedgerTest, SharesOneCallAmongClaimsThatArriveTogether)
{
    constexpr int count = 20;
    int granted = 0;
    for (int i = 0; i < count; ++i)
        first.claim(makeRequest(QByteArray::number(i)), [&](const ClaimResult& result) { granted += result.outcome == ClaimOutcome::Granted ? 1 : 0; });
    // A key that is claimed twice is granted once.
    first.claim(makeRequest("0"), [&](const ClaimResult& result) { granted += result.outcome == ClaimOutcome::Running ? 1 : 0; });
    ASSERT_TRUE(waitUntil([&] { return granted == count + 1; }));
    EXPECT_EQ(store.writeCalls, 2);
}

// A key that was granted and not released is never granted again, whichever answers are lost.
TEST(ClaimLedgerProperty, GrantsNoKeyTwice)
{
    EXPECT_TRUE(rc::check("no key is granted twice", [] {
        FakeStore store;
        const Random random = makeSeededRandom(*rc::gen::arbitrary<uint64_t>());
        store.nextFault = [random] { return random() % 3 == 0 ? Fault::LostAnswer : random() % 3 == 0 ? Fault::Down
                                                                                                      : Fault::None; };
        ClaimLedger first(makeOptions(store, 1), store.calls());
        ClaimLedger second(makeOptions(store, 2), store.calls());
        std::map<QByteArray, int> granted;
        const auto steps = *rc::gen::container<std::vector<std::pair<int, bool>>>(rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::arbitrary<bool>()));
        for (const auto& [key, useFirst] : steps) {
            const ClaimRequest request = makeRequest(QByteArray::number(key));
            ClaimLedger& ledger = useFirst ? first : second;
            if (claim(ledger, request).outcome != ClaimOutcome::Granted)
                continue;
            ++granted[request.idempotencyKey];
            if (random() % 2 == 0) {
                --granted[request.idempotencyKey];
                ledger.abandon(request);
            }
        }
        for (const auto& [key, count] : granted)
            RC_ASSERT(count <= 1);
    }));
}

namespace {

    // Ledgers of nodes that write through the first node. The network loses requests and answers
    // and delivers some batches late.
    struct Domain {
        enum class Loss {
            None,
            Request,
            Answer,
            Late, // the sender gives up; the aggregator receives the batch afterwards
        };

        struct Member {
            SharedWriter writer;
            ClaimLedger ledger;

            Member(const SharedWriter::Options& options, FakeStore& platform, uint64_t seed)
                : writer(options)
                , ledger(makeOptions(platform, seed), makeStore(platform))
            {
            }

            ClaimStore makeStore(FakeStore& platform)
            {
                ClaimStore calls = platform.calls();
                calls.writeEach = [this](const std::vector<KvWrite>& writes, Callback<std::vector<KvWriteResult>> done) { writer.writeEach(writes, std::move(done)); };
                return calls;
            }
        };

        FakeStore store;
        std::function<Loss()> nextLoss = [] { return Loss::None; };
        std::vector<ClaimBatch> late;
        std::vector<std::unique_ptr<Member>> members;

        explicit Domain(size_t count, Millis directWritePeriod = Millis(0))
        {
            for (size_t i = 0; i < count; ++i)
                members.push_back(std::make_unique<Member>(makeWriterOptions(i, directWritePeriod), store, i + 1));
        }

        SharedWriter::Options makeWriterOptions(size_t index, Millis directWritePeriod)
        {
            return { .writeEach = store.calls().writeEach,
                .interval = Millis(0),
                .directWritePeriod = directWritePeriod,
                .clock = [this] { return store.now; },
                .random = makeSeededRandom(index),
                .isShared = [] { return true; },
                .findAggregator = [index] { return std::string(index == 0 ? "" : "aggregator"); },
                .send = [this](const std::string&, const ClaimBatch& batch, const SharedWriter::Answer& done) { send(batch, done); } };
        }

        void send(const ClaimBatch& batch, const SharedWriter::Answer& done)
        {
            const Loss loss = nextLoss();
            if (loss == Loss::Late)
                late.push_back(batch);
            if (loss == Loss::Late || loss == Loss::Request) {
                done(absl::UnavailableError("lost"));
                return;
            }
            members[0]->writer.writeForPeer(batch, [loss, done](const ClaimBatchAnswer& answer) {
                if (loss == Loss::Answer)
                    done(absl::UnavailableError("lost"));
                else
                    done(answer);
            });
        }

        void deliverLate()
        {
            for (const ClaimBatch& batch : std::exchange(late, {}))
                members[0]->writer.writeForPeer(batch, [](const ClaimBatchAnswer&) {});
        }
    };

} // namespace

TEST(SharedWriterTest, GivesEachNodeItsOwnResults)
{
    Domain domain(3);
    EXPECT_EQ(claim(domain.members[1]->ledger, makeRequest("k")).outcome, ClaimOutcome::Granted);
    EXPECT_EQ(claim(domain.members[2]->ledger, makeRequest("k")).outcome, ClaimOutcome::Running);
    EXPECT_EQ(claim(domain.members[0]->ledger, makeRequest("k")).outcome, ClaimOutcome::Running);
    EXPECT_EQ(claim(domain.members[2]->ledger, makeRequest("other")).outcome, ClaimOutcome::Granted);
    EXPECT_EQ(domain.members[0]->writer.writesForPeers(), 3U);
}

TEST(SharedWriterTest, WritesDirectlyWhenTheAggregatorDoesNotAnswer)
{
    Domain domain(2, Millis(5000));
    domain.nextLoss = [] { return Domain::Loss::Request; };
    EXPECT_EQ(claim(domain.members[1]->ledger, makeRequest("k")).outcome, ClaimOutcome::Granted);
    domain.nextLoss = [] { return Domain::Loss::None; };
    EXPECT_EQ(claim(domain.members[1]->ledger, makeRequest("early")).outcome, ClaimOutcome::Granted);
    EXPECT_EQ(domain.members[0]->writer.writesForPeers(), 0U) << "the aggregator is not used again for a while";
    domain.store.now += Millis(5000);
    EXPECT_EQ(claim(domain.members[1]->ledger, makeRequest("late")).outcome, ClaimOutcome::Granted);
    EXPECT_EQ(domain.members[0]->writer.writesForPeers(), 1U);
}

TEST(SharedWriterTest, WritesNothingButClaimsForOthers)
{
    Domain domain(1);
    ClaimBatchAnswer answer;
    domain.members[0]->writer.writeForPeer({ .id = 1, .writes = { { .key = "/hemlockweir/configuration", .value = "{}" } } }, [&](const ClaimBatchAnswer& received) { answer = received; });
    EXPECT_EQ(answer.id, 1U);
    EXPECT_TRUE(answer.results.empty());
    EXPECT_TRUE(domain.store.entries.empty());
}

TEST(SharedWriterTest, ReadsDirectlyAnAnswerThatIsTooLargeToForward)
{
    Domain domain(2, Millis(5000));
    EXPECT_EQ(claim(domain.members[0]->ledger, makeRequest("k")).outcome, ClaimOutcome::Granted);
    const StoredAnswer answer { .status = 200, .contentType = "text/plain", .body = QByteArray(60000, 'x') };
    bool stored = false;
    domain.members[0]->ledger.complete(makeRequest("k"), answer, [&](bool ok) { stored = ok; });
    ASSERT_TRUE(waitUntil([&] { return stored; }));
    EXPECT_EQ(claim(domain.members[1]->ledger, makeRequest("k")).answer, answer);
}

TEST(SharedWriterProperty, GrantsNoKeyTwice)
{
    EXPECT_TRUE(rc::check("no key is granted twice, whatever is lost or delayed on the way to the aggregator", [] {
        Domain domain(3);
        const Random random = makeSeededRandom(*rc::gen::arbitrary<uint64_t>());
        domain.nextLoss = [random] { return static_cast<Domain::Loss>(random() % 4); };
        domain.store.nextFault = [random] { return random() % 5 == 0 ? Fault::LostAnswer : random() % 5 == 0 ? Fault::Down
                                                                                                             : Fault::None; };
        std::map<QByteArray, int> granted;
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(0, 3)));
        for (const auto& [key, member] : steps) {
            const ClaimRequest request = makeRequest(QByteArray::number(key));
            ClaimLedger& ledger = domain.members[static_cast<size_t>(member)]->ledger;
            if (claim(ledger, request).outcome == ClaimOutcome::Granted)
                ++granted[request.idempotencyKey];
            if (granted[request.idempotencyKey] > 0 && random() % 3 == 0) {
                --granted[request.idempotencyKey];
                for (const auto& each : domain.members)
                    each->ledger.abandon(request);
            }
            if (random() % 2 == 0)
                domain.deliverLate();
        }
        for (const auto& [key, count] : granted)
            RC_ASSERT(count <= 1);
    }));
}

} // namespace hemlockweir
