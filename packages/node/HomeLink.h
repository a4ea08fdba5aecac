#pragma once

#include "ledger/HomeClient.h"
#include "ledger/HomeLedger.h"
#include "wire/PeerExchange.h"

// Carries claims of bound keys between nodes: serves those of this node's own keys, and asks the
// homes of others. Lives on the control thread.

namespace hemlockweir {

class HomeLink : public QObject {
    Q_OBJECT
public:
    struct Options {
        std::string node;
        std::string home; // ADDRESS:PORT of this node, as its keys name it
        QByteArray clusterKey;
        Random random;
    };

    HomeLink(Options options, HomeLedger& ledger, PeerClient& peers);

    // Serves claims and outcomes that arrive at this node.
    void serveAt(PeerServer& server);

    // The client that claims through this link.
    HomeClient& client() { return client_; }

private:
    std::optional<QByteArray> answerClaim(const Envelope& envelope);
    std::optional<QByteArray> answerOutcome(const Envelope& envelope);

    Options options_;
    HomeLedger& ledger_;
    PeerClient& peers_;
    HomeClient client_;
};

} // namespace hemlockweir
