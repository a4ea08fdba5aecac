#pragma once

#include "ledger/BoundKey.h"
#include "wire/LedgerMessages.h"

#include <map>
#include <mutex>
#include <vector>

// In-memory ledger of the keys that this start of this node issued. Only this ledger may let a
// request under such a key run. Pure: time and randomness are injected.
//
// A key can be claimed until `keyLifetime` after its issue, and its record is stored as long. Later
// claims are always refused, so removing an expired record never lets a request run again. Records
// are lost when the process ends; after a restart the node refuses keys of the earlier start.
//
// When the ledger has no capacity for another record, it refuses all keys that were issued so far
// and not claimed, permanently; if only the caller's limit is reached, only that caller's keys. One
// timestamp (the cutoff) is enough for that. The caller learns that nothing ever runs under such a
// key, although an earlier copy of its request may still arrive. Thread-safe.

namespace hemlockweir {

class HomeLedger {
public:
    struct Options {
        std::string home; // ADDRESS:PORT at which other nodes reach this one
        uint64_t start = 0; // random identifier of this start of the node
        QByteArray clusterKey;
        Millis keyLifetime { 2 * 3600 * 1000 }; // ms after issue during which a key can be claimed and its record is stored
        size_t maxRecords = 100000; // keys claimed within the lifetime; about 300 bytes each
        size_t maxRecordsPerCaller = 25000;
        size_t maxAnswerBytes = 32 * 1024 * 1024; // total size of stored answers; the oldest are evicted first
        Clock clock;
        Random random;
    };

    explicit HomeLedger(Options options);

    // Issues a key to a caller. Errors: ResourceExhausted if no more claims can be stored;
    // Unavailable during a planned stop.
    absl::StatusOr<QByteArray> issue(const std::string& caller);

    // Processes a claim. `holder` is the node that sent it.
    HomeAnswer claim(const HomeClaim& request, const std::string& holder);

    // Records the outcome of an attempt. Idempotent.
    HomeAnswer settle(const HomeOutcome& outcome);

    // Begins a planned stop: issues no more keys and refuses the keys that are not claimed.
    void drain();

    // Return the nodes whose attempts hold claims, and the total number of held claims.
    std::vector<std::string> holders() const;
    size_t heldCount() const;

    Millis keyLifetime() const { return options_.keyLifetime; }

    size_t recordCount() const;
    size_t answerBytes() const;

private:
    // Number of attempts remembered per key that were cancelled before their claim arrived. If the
    // ledger forgets one and then grants its claim, that claim is held but never run, which is
    // safe.
    static constexpr size_t maxCancelledAttempts = 4;

    enum class State {
        Free, // nothing ran and no attempt holds it
        Claimed,
        Done,
    };
    using RecordId = std::pair<int64_t, uint64_t>; // time of issue and nonce; sorts oldest first

    struct Record {
        State state = State::Free;
        std::string caller;
        std::string attempt;
        std::string holder; // node
        std::string requestHash;
        WireAnswer answer;
        uint64_t answerNumber = 0; // key in answers_; 0: no stored answer
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
    mutable std::mutex mutex_; // guards the members below; no other lock is acquired while it is held
    std::map<RecordId, Record> records_;
    std::map<std::string, size_t> counts_; // number of records, by caller
    std::map<std::string, size_t> held_; // number of held claims, by node
    std::map<uint64_t, RecordId> answers_; // stored answers, oldest first
    uint64_t lastAnswer_ = 0;
    size_t answerBytes_ = 0;
    int64_t cutoff_; // ms; unclaimed keys issued at or before this time are refused
    std::map<std::string, int64_t> callerCutoffs_; // the same cutoff for one caller
    bool isDraining_ = false;
};

} // namespace hemlockweir
