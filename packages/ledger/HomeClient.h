#pragma once

#include "ledger/ClaimLedger.h"
#include "wire/LedgerMessages.h"

// Claims keys bound to a node (BoundKey.h) at that node, their home, whichever node the request
// arrived at. Only an answer of the home grants a claim; an attempt that receives no answer never
// runs. Lives on the control thread.

namespace hemlockweir {

class HomeClient : public QObject {
    Q_OBJECT
public:
    using Done = std::function<void(const absl::StatusOr<HomeAnswer>&)>;

    struct Options {
        QByteArray clusterKey;
        int tries = 2; // attempts to send one claim; `sendClaim` sets the timeout of each
        Millis retryDelay { 500 }; // ms before an outcome is sent again; doubles each time
        int backgroundTries = 10; // attempts to send an outcome
        size_t maxPendingRetries = 1000; // outcomes waiting for a retry; further ones are dropped
        Random random;
        std::function<void(const std::string& home, const HomeClaim&, Done)> sendClaim; // to ADDRESS:PORT
        std::function<void(const std::string& home, const HomeOutcome&, Done)> sendOutcome;
    };

    explicit HomeClient(Options options);

    // Same contract as the functions of ClaimLedger.
    void claim(const ClaimRequest& request, std::function<void(const ClaimResult&)> done);
    void complete(const ClaimRequest& request, const StoredAnswer& answer, std::function<void(bool)> done);
    void abandon(const ClaimRequest& request);

private:
    struct Held {
        std::string home;
        std::string attempt;
    };

    void sendClaim(const std::string& home, const HomeClaim& claim, int triesLeft, const std::function<void(const ClaimResult&)>& done);
    void handleVerdict(const std::string& home, const HomeClaim& claim, const HomeAnswer& answer, const std::function<void(const ClaimResult&)>& done);
    void settle(const std::string& home, const HomeOutcome& outcome, int tries, const std::function<void(bool)>& done);
    void retryOutcome(const std::string& home, const HomeOutcome& outcome, int tries);

    Options options_;
    std::map<std::string, Held> held_; // by key
    size_t pendingRetries_ = 0;
};

// Routes each claim: keys bound to a node to their home, keys chosen by callers to the platform.
class ClaimRouter : public QObject {
    Q_OBJECT
public:
    ClaimRouter(ClaimLedger& platform, HomeClient& homes);

    void claim(const ClaimRequest& request, std::function<void(const ClaimResult&)> done);
    void complete(const ClaimRequest& request, const StoredAnswer& answer, std::function<void(bool)> done);
    void abandon(const ClaimRequest& request);

private:
    ClaimLedger& platform_;
    HomeClient& homes_;
};

} // namespace hemlockweir
