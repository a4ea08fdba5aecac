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
        std::string node; // written as the key's value
        std::chrono::seconds ttl { 5 };
        Clock clock;
    };

    DomainLease(Options options, KvClient& platform);

    // Tries to take or renew the lease; call it often, it keeps its own pace.
    void keep();

    // Stops renewing and deletes the key, so that another node need not wait.
    void release();

    // Whether the lease certainly holds now. False once a margin before it could lapse.
    bool isHeld() const;

    // The next fencing number; isHeld() must be true.
    uint64_t nextEpoch();

private:
    QByteArray key() const;
    void acquire();
    void createKey(int64_t lease, Millis askedAt);
    void renew();
    void drop();

    Options options_;
    KvClient& platform_;
    int64_t lease_ = 0;
    int64_t term_ = 0; // revision at which the key was created; 0 while not held
    uint64_t orders_ = 0;
    Millis heldUntil_ { 0 };
    Millis nextTry_ { 0 };
    bool busy_ = false;
};

} // namespace hemlockweir
