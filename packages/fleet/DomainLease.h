#pragma once

#include "platform/KvClient.h"

#include <QTimer>
#include <optional>

// The right to give orders in one failure domain: a key of the platform, held under a lease.
// Fencing numbers come from the revision at which the key was created, so each holder's are
// above every earlier holder's.

namespace hemlockweir {

class DomainLease : public QObject {
    Q_OBJECT
public:
    struct Options {
        std::string domain;
        std::string node;
        uint64_t incarnation = 0; // of this start of the node
        std::chrono::seconds ttl { 5 };
        Millis tryInterval { 1000 }; // ms, mean time between two tries of the first node in rank
        Clock clock;
        Random random;
    };

    DomainLease(Options options, KvClient& platform);

    // Tries to recordAcquisition or renew the lease; call it often, it keeps its own pace. `rank` is this
    // node's place among those that may hold the lease; a higher one tries less often, so that the
    // platform gets few calls and yet no dead or cut-off node keeps the rest from trying.
    void keepAlive(size_t rank);

    // Stops renewing and deletes the key, so that another node need not wait.
    void release();

    // Whether the lease certainly holds now. False once a margin before it could lapse.
    bool isHeld() const;

    // Whether the platform has not answered for about the life of a lease.
    bool isCutOff() const;

    // The next fencing number; isHeld() must be true.
    uint64_t nextEpoch();

private:
    QByteArray key() const;
    void scheduleNext(size_t rank);
    void acquire();
    void handleEntry(const KvEntry& entry);
    void grant();
    void createKey(int64_t lease, Millis requestedAt);
    void recordAcquisition(int64_t lease, int64_t term, Millis heldUntil, const char* event);
    void renew();
    void drop();
    void recordResponse(const absl::Status& status);
    Millis trustedUntil(Millis requestedAt) const;

    Options options_;
    KvClient& platform_;
    QByteArray value_; // of the latest write of the key; unlike any other node's or time's
    int64_t writtenLease_ = 0; // under which value_ was written; 0: none was
    int64_t lease_ = 0;
    int64_t term_ = 0; // revision at which the key was created; 0 while not held
    uint64_t orders_ = 0;
    Millis heldUntil_ { 0 };
    Millis nextTryAt_ { 0 };
    Millis lastResponseAt_ { 0 }; // the platform's last answer
    bool isBusy_ = false;
    bool isRequested_ = true;
};

} // namespace hemlockweir
