#pragma once

#include "ledger/BatchWriter.h"
#include "ledger/ClaimValue.h"

#include <map>

// Runs requests that carry an idempotency key at most once. The ledger writes a claim to the
// platform by compare-and-swap before the request may run, and completes the claim with the answer.
//
// A random token ties each claim to the attempt that made it. An attempt that finds the claim of
// another attempt does not run the request. If the request certainly did not run, its claim is
// abandoned: the ledger deletes it in the background, or reuses it when the request arrives at this
// node again first. Claims share leases; a lease accepts new claims only while it outlives their
// retention. Lives on the control thread.

namespace hemlockweir {

enum class ClaimOutcome {
    Granted, // this attempt runs it; no other attempt does
    Finished, // it ran; the result holds its answer
    NotStored, // it ran; its answer was too large to store
    Running, // claimed earlier and not finished: it runs, or its outcome is unknown
    Mismatch, // the key belongs to a different request
    Unavailable, // no claim could be made: do not run
    // Only for keys bound to a node (BoundKey.h):
    Refused, // nothing ran under the key and nothing ever will
    Unreachable, // this attempt does not run; whether another one ran is unknown
    Lost, // the ledger with its record is gone, or the key expired: it never runs again
    Foreign, // not a key that this system issued to this caller
};

struct ClaimResult {
    ClaimOutcome outcome = ClaimOutcome::Unavailable;
    StoredAnswer answer; // valid when Finished
};

// Platform calls that a ledger makes.
struct ClaimStore {
    BatchWriter::WriteEach writeEach;
    std::function<void(const QByteArray& key, Callback<KvRange>)> get;
    std::function<void(const QByteArray& key, int64_t modRevision, Callback<KvWriteResult>)> compareAndDelete;
    std::function<void(std::chrono::seconds, Callback<int64_t>)> grantLease;
};

// Returns the calls of a client. The client must outlive the ledger.
ClaimStore makeClaimStore(KvClient& platform);

class ClaimLedger : public QObject {
    Q_OBJECT
public:
    struct Options {
        std::string owner; // node and incarnation; informs operators only
        qsizetype maxAnswerBytes = 64 * 1024; // of larger answers, only the fact that the request ran is stored
        std::chrono::seconds retention { 86400 }; // s; minimum time that a claim is stored
        std::chrono::seconds leaseRotation { 3600 }; // s during which one lease accepts new claims
        int tries = 3; // attempts to write a claim if calls fail or answers are lost
        Millis retryDelay { 500 }; // ms before the first background retry; doubles each time
        int backgroundTries = 10; // attempts to write a completion or to delete an abandoned claim
        Clock clock;
        Random random;
    };

    ClaimLedger(Options options, ClaimStore store);

    // Claims a key. Calls `done` once, on this thread.
    void claim(const ClaimRequest& request, std::function<void(const ClaimResult&)> done);

    // Stores the answer of a granted claim. Calls `done` after the first attempt; its argument says
    // whether the answer is stored. A failed attempt is repeated in the background.
    void complete(const ClaimRequest& request, const StoredAnswer& answer, std::function<void(bool)> done);

    // Releases a granted claim. Call this only for a request that certainly did not run.
    void abandon(const ClaimRequest& request);

    // Return the number of held claims, and of abandoned claims that are not deleted yet.
    size_t heldCount() const { return held_.size(); }
    size_t abandonedCount() const { return abandoned_.size(); }

private:
    struct Pending {
        ClaimRequest request;
        QByteArray key;
        QByteArray token; // unique to this attempt; identifies its own write
        int64_t expectedModRevision = 0; // above 0 to overwrite an abandoned claim
        int triesLeft = 0;
        bool maybeWritten = false; // the answer to a write was lost
        std::function<void(const ClaimResult&)> done;
    };
    struct Held {
        QByteArray token;
        int64_t modRevision = 0; // 0: unknown; the claim may not have been written
    };

    ClaimValue valueOf(const ClaimRequest& request, const QByteArray& token) const;
    void withLease(std::function<void(bool)> step);
    void applyLease(const absl::StatusOr<int64_t>& lease, Millis requestedAt);
    void writeClaim(const Pending& pending);
    void handleWriteResult(Pending pending, const absl::StatusOr<KvWriteResult>& result);
    void resolveConflict(Pending pending, const KvEntry& current);
    static ClaimResult evaluate(const ClaimValue& value, const ClaimRequest& request);
    void grant(const Pending& pending, int64_t modRevision);
    void failUnavailable(const Pending& pending);
    void writeCompletion(const KvWrite& write, int tries, const std::function<void(bool)>& done);
    void deleteAbandoned(const QByteArray& key, const QByteArray& token, int tries);
    void retryAbandoned(const QByteArray& key, const QByteArray& token, int tries);
    Millis delayAfter(int tries) const;

    Options options_;
    ClaimStore store_;
    BatchWriter writer_;
    std::map<QByteArray, Held> held_; // by key
    std::map<QByteArray, Held> abandoned_; // by key; no attempt runs these
    std::vector<std::function<void(bool)>> waitingForLease_;
    int64_t lease_ = 0;
    Millis leaseGrantedAt_ { 0 };
};

} // namespace hemlockweir
