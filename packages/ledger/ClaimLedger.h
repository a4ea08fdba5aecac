#pragma once

#include "ledger/BatchWriter.h"
#include "ledger/ClaimValue.h"

#include <map>

// At most once for requests that carry an idempotency key: a claim in the platform, made by
// compare-and-swap before the request may run, and completed with its answer.
//
// A claim belongs to the attempt that made it, by a random token. Whoever finds the claim of
// another attempt does not run the request. A claim whose request certainly did not run is
// abandoned: deleted in the background, or taken over when the request comes back to this node
// first. Claims share leases; a lease takes new claims only while it outlives their retention.
// Lives on the control thread.

namespace hemlockweir {

enum class ClaimOutcome {
    Granted, // run it; nobody else will
    Finished, // it ran; the answer is given
    NotStored, // it ran; its answer was too large to keep
    Running, // claimed before and not finished: running, or its outcome is unknown
    Mismatch, // the key was used for another request
    Unavailable, // no claim is held: do not run
    // Of keys bound to a node only:
    Refused, // nothing ran under the key and nothing will
    Unreachable, // this attempt does not run; whether another one ran is not known
    Lost, // the ledger that knew is gone, or the key is too old: it never runs again
    Foreign, // no key of this system for this caller
};

struct ClaimResult {
    ClaimOutcome outcome = ClaimOutcome::Unavailable;
    StoredAnswer answer; // meaningful when Finished
};

// The calls to the platform that a ledger makes.
struct ClaimStore {
    BatchWriter::WriteEach writeEach;
    std::function<void(const QByteArray& key, Callback<KvRange>)> get;
    std::function<void(const QByteArray& key, int64_t modRevision, Callback<KvWriteResult>)> compareAndDelete;
    std::function<void(std::chrono::seconds, Callback<int64_t>)> grantLease;
};

// The calls of a client, which must outlive the ledger.
ClaimStore makeClaimStore(KvClient& platform);

class ClaimLedger : public QObject {
    Q_OBJECT
public:
    struct Options {
        std::string owner; // node and incarnation, for operators
        qsizetype maxAnswerBytes = 64 * 1024; // larger answers are not kept, only that it ran
        std::chrono::seconds retention { 86400 }; // s that a claim is kept at least
        std::chrono::seconds leaseRotation { 3600 }; // s that one lease takes new claims
        int tries = 3; // writes of a claim whose answers are lost
        Millis retryDelay { 500 }; // ms before the first background retry; doubles
        int backgroundTries = 10; // of a completion or an abandoned claim
        Clock clock;
        Random random;
    };

    ClaimLedger(Options options, ClaimStore store);

    // Claims a key; `done` is called once, on this thread.
    void claim(const ClaimRequest& request, std::function<void(const ClaimResult&)> done);

    // Stores the answer of a granted claim; `done` is called after the first try and says whether
    // it is kept. A try that failed is repeated in the background.
    void complete(const ClaimRequest& request, const StoredAnswer& answer, std::function<void(bool)> done);

    // Gives a granted claim back, for a request that certainly did not run.
    void abandon(const ClaimRequest& request);

    // Claims held and claims that wait to be deleted.
    size_t heldCount() const { return held_.size(); }
    size_t abandonedCount() const { return abandoned_.size(); }

private:
    struct Pending {
        ClaimRequest request;
        QByteArray key;
        QByteArray token; // unique to this attempt, to know one's own write again
        int64_t expectedModRevision = 0; // above 0 to take over an abandoned claim
        int triesLeft = 0;
        bool maybeWritten = false; // a write's answer was lost
        std::function<void(const ClaimResult&)> done;
    };
    struct Held {
        QByteArray token;
        int64_t modRevision = 0; // 0: not known, or perhaps not written
    };

    ClaimValue valueOf(const ClaimRequest& request, const QByteArray& token) const;
    void withLease(std::function<void(bool)> step);
    void applyLease(const absl::StatusOr<int64_t>& lease, Millis askedAt);
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
    std::map<QByteArray, Held> abandoned_; // by key; nobody runs these
    std::vector<std::function<void(bool)>> waitingForLease_;
    int64_t lease_ = 0;
    Millis leaseGrantedAt_ { 0 };
};

} // namespace hemlockweir
