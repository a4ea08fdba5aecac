#pragma once

#include "ledger/HomeClient.h"
#include "ledger/HomeLedger.h"
#include "wire/PeerExchange.h"

// Exchanges claims of bound keys with other nodes. It answers claims of keys that are bound to this
// node, and sends claims of other keys to their home nodes. Runs on the control thread.

namespace hemlockweir {

class HomeLink : public QObject {
    Q_OBJECT
public:
    struct Options {
        std::string node;
        std::string home; // ADDRESS:PORT of this node, as contained in its keys
        QByteArray clusterKey;
        Random random;
    };

    HomeLink(Options options, HomeLedger& ledger, PeerClient& peers);

    // Registers the handlers for claims and outcomes that peers send to this node.
    void serveAt(PeerServer& server);

    // Returns the client that sends claims through this link.
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
