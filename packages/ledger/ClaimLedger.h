#pragma once

#include "platform/KvClient.h"

#include <QTimer>

// At most once for requests that carry an idempotency key: a claim in the platform, made by
// compare-and-swap before the request may run, and completed with its answer. Claims of one node
// that arrive together share one call. Lives on the control thread.

namespace hemlockweir {

// What a claim is made for.
struct ClaimRequest {
    std::string caller;
    QByteArray idempotencyKey; // as the caller sent it
    QByteArray requestHash; // SHA-256 of what would run
};

// The answer kept with a finished claim.
struct StoredAnswer {
    int status = 0; // HTTP status
    QByteArray contentType;
    QByteArray body;

    bool operator==(const StoredAnswer&) const = default;
};

enum class ClaimOutcome {
    Granted, // run it; nobody else will
    Finished, // it ran; the answer is given
    Running, // claimed before and not finished: running, or its outcome is unknown
    Mismatch, // the key was used for another request
    Unavailable, // the claim was certainly not made, or can not be used: do not run
};

struct ClaimResult {
    ClaimOutcome outcome = ClaimOutcome::Unavailable;
    StoredAnswer answer; // meaningful when Finished
};

class ClaimLedger : public QObject {
    Q_OBJECT
public:
    struct Options {
        std::string owner; // node and incarnation, for operators
        Millis batchInterval { 4 }; // ms that a claim waits for others
        size_t maxBatch = 64; // claims in one call
        qsizetype maxAnswerBytes = 64 * 1024; // larger answers are not kept, only their status
        std::chrono::seconds retention { 86400 }; // s that a claim is kept
        int tries = 3; // writes of a claim whose answers are lost
        Random random;
    };

    ClaimLedger(Options options, KvClient& platform);

    // Claims a key; `done` is called once, on this thread.
    void claim(const ClaimRequest& request, std::function<void(const ClaimResult&)> done);

    // Stores the answer of a granted claim; `done` says whether it is kept.
    void complete(const ClaimRequest& request, const StoredAnswer& answer, std::function<void(bool)> done);

    // Gives a granted claim back, for a request that certainly did not run.
    void abandon(const ClaimRequest& request);

private:
    struct Pending {
        ClaimRequest request;
        QByteArray token; // unique to this attempt, to know one's own write again
        int triesLeft = 0;
        std::function<void(const ClaimResult&)> done;
    };
    struct Held {
        QByteArray token;
        int64_t modRevision = 0;
    };

    QByteArray keyOf(const ClaimRequest& request) const;
    QByteArray valueOf(const Pending& pending) const;
    void flush();
    void writeBatch(std::vector<Pending> batch);
    void settle(Pending& pending, const KvWriteResult& result);
    void ensureLease();

    Options options_;
    KvClient& platform_;
    QTimer timer_;
    std::vector<Pending> queue_;
    std::map<QByteArray, Held> held_; // by key
    int64_t lease_ = 0;
};

} // namespace hemlockweir
