#pragma once

#include "platform/KvClient.h"

#include <QTimer>
#include <optional>

// The exclusive right to send orders to the instances of one failure domain. It is a key in the
// platform's store, attached to a lease. Fencing numbers derive from the revision at which the key
// was created, so each holder's numbers are higher than those of all earlier holders.

namespace hemlockweir {

class DomainLease : public QObject {
    Q_OBJECT
public:
    struct Options {
        std::string domain;
        std::string node;
        uint64_t incarnation = 0; // of this run of the node
        std::chrono::seconds ttl { 5 };
        Millis tryInterval { 1000 }; // ms, mean time between two attempts of the highest-ranked node
        Clock clock;
        Random random;
    };

    DomainLease(Options options, KvClient& platform);

    // Acquires or renews the lease when it is due. Call it often; it limits its own rate. `rank` is
    // this node's rank among the nodes that may hold the lease. Lower-ranked nodes try less often,
    // which limits the calls to the platform, but they do try, so that a dead or cut-off node can't
    // block the others.
    void keepAlive(size_t rank);

    // Stops renewing and deletes the key, so that another node can acquire the lease without
    // waiting for it to expire.
    void release();

    // Returns whether the lease is certainly held. Becomes false a safety margin before the lease
    // could expire.
    bool isHeld() const;

    // Returns whether the platform has not responded for at least the lifetime of a lease.
    bool isCutOff() const;

    // Returns the next fencing number. Call this only while isHeld() returns true.
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
    QByteArray value_; // of the last write of the key; unique per node and write
    int64_t writtenLease_ = 0; // lease of that write; 0: none
    int64_t lease_ = 0;
    int64_t term_ = 0; // revision at which the key was created; 0: not held
    uint64_t orders_ = 0;
    Millis heldUntil_ { 0 };
    Millis nextTryAt_ { 0 };
    Millis lastResponseAt_ { 0 }; // time of the platform's last response
    bool isBusy_ = false;
    bool isRequested_ = true; // false after release()
};

} // namespace hemlockweir
