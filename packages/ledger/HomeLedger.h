#pragma once

#include "ledger/BoundKey.h"
#include "wire/LedgerMessages.h"

#include <map>
#include <mutex>
#include <vector>

// The ledger of the keys that this start of this node made, in memory: the only one that may let a
// request under such a key run. Pure: time and randomness are given.
//
// A key can be claimed until `keyLifetime` after its issue, and its record is kept as long; later
// claims are refused whatever happened, so dropping a record never lets a request run again. The
// records go with the process, and so does the right to run: another start refuses the key.
//
// When no record can be taken in, all keys that were issued so far and not claimed are refused for
// good ("floor"). That takes no memory and lets a caller know that nothing runs under such a key,
// although an older send of it may still arrive. Thread-safe.

namespace hemlockweir {

class HomeLedger {
public:
    struct Options {
        std::string home; // ADDRESS:PORT by which the other nodes reach this one
        uint64_t start = 0; // random name of this start
        QByteArray clusterKey;
        Millis keyLifetime { 2 * 3600 * 1000 }; // ms from issue to the last claim, and that records are kept
        size_t maxRecords = 100000; // keys claimed within the lifetime; about 300 bytes each
        size_t maxRecordsPerCaller = 25000;
        size_t maxAnswerBytes = 32 * 1024 * 1024; // bytes of answers; the oldest make room
        Clock clock;
        Random random;
    };

    explicit HomeLedger(Options options);

    // Makes a key for a caller. ResourceExhausted: no room for more claims; Unavailable: in a
    // planned stop.
    absl::StatusOr<QByteArray> issue(const std::string& caller);

    // Judges a claim; `holder` is the node that asks.
    HomeAnswer claim(const HomeClaim& request, const std::string& holder);

    // Takes the outcome of an attempt. Repeats do no harm.
    HomeAnswer settle(const HomeSettle& outcome);

    // Begins a planned stop: makes no more keys, and refuses those that were not claimed.
    void drain();

    // Nodes whose attempts acquire a claim, and how many claims they acquire together.
    std::vector<std::string> holders() const;
    size_t heldCount() const;

    Millis keyLifetime() const { return options_.keyLifetime; }

    size_t recordCount() const;
    size_t answerBytes() const;

private:
    // Attempts that were given up before their claim arrived, remembered for one key. Forgetting
    // one costs no more than a claim that nobody runs.
    static constexpr size_t maxCancelledAttempts = 4;

    enum class State {
        Free, // nothing ran and no attempt holds it
        Claimed,
        Done,
    };
    using RecordId = std::pair<int64_t, uint64_t>; // time of issue and nonce: oldest first

    struct Record {
        State state = State::Free;
        std::string caller;
        std::string attempt;
        std::string holder; // node
        std::string requestHash;
        WireAnswer answer;
        uint64_t answerNumber = 0; // in answers_; 0: none
        std::vector<std::string> cancelledAttempts;
    };

    bool isLost(const absl::StatusOr<BoundKey>& key, Millis now) const;
    void expire(Millis now);
    void acquire(Record& record, const HomeClaim& request, const std::string& holder);
    void release(Record& record, State next);
    void removeAnswer(Record& record);
    void storeAnswer(const RecordId& id, Record& record, const WireAnswer& answer);
    bool isRefused(const BoundKey& key, const std::string& caller) const;
    bool hasCapacity(const std::string& caller) const;
    void raiseCutoff(const std::string& caller, Millis now);
    Record& addRecord(const RecordId& id, const std::string& caller);
    HomeAnswer answerExisting(const HomeClaim& request, const Record& record) const;
    static void cancelAttempt(Record& record, const std::string& attempt);

    Options options_;
    mutable std::mutex mutex_; // guards what follows; a leaf
    std::map<RecordId, Record> records_;
    std::map<std::string, size_t> counts_; // records by caller
    std::map<std::string, size_t> held_; // claims held, by node
    std::map<uint64_t, RecordId> answers_; // kept answers, oldest first
    uint64_t lastAnswer_ = 0;
    size_t answerBytes_ = 0;
    int64_t cutoff_; // ms; unclaimed keys issued up to it are refused
    std::map<std::string, int64_t> callerCutoffs_; // the same by caller
    bool isDraining_ = false;
};

} // namespace hemlockweir
