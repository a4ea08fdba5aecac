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
        uint64_t incarnation = 0;
        std::string home; // ADDRESS:PORT of this node, as its keys name it
        QByteArray clusterKey;
        Millis timeout { 1000 }; // ms for one request to a home and its answer
        size_t maxCalls = 256; // requests to homes in flight; more fail at once
        Random random;
    };

    HomeLink(Options options, HomeLedger& ledger);

    // Serves claims and outcomes that arrive at this node.
    void serveAt(PeerServer& server);

    // The client that claims through this link.
    HomeClient& client() { return client_; }

private:
    std::optional<QByteArray> answerClaim(const Envelope& envelope);
    std::optional<QByteArray> answerSettle(const Envelope& envelope);
    template <typename Message>
    void ask(const std::string& home, const Message& message, HomeClient::Done done);
    Sender nextSender();

    Options options_;
    HomeLedger& ledger_;
    HomeClient client_;
    uint64_t sequence_ = 0;
    size_t calls_ = 0; // in flight
};

} // namespace hemlockweir
