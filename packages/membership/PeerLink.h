#pragma once

#include "base/Clock.h"
#include "wire/Codec.h"

#include <QHostAddress>
#include <QObject>
#include <QTimer>
#include <QUdpSocket>
#include <functional>
#include <map>
#include <mutex>

// Who the other nodes are, and datagrams between them. Lives on the control thread; the node
// table can be read from any thread.
//
// A node greets its seeds, learns the rest from them, and counts a peer as alive while it hears
// from it. Nothing here needs the platform.

namespace hemlockweir {

// What a link needs to know.
struct PeerLinkOptions {
    std::string node;
    uint64_t incarnation = 0;
    QHostAddress address;
    quint16 port = 0; // UDP
    std::vector<std::string> seeds; // ADDRESS:PORT
    QByteArray clusterKey;
    Millis heartbeatInterval { 200 };
    Millis aliveTimeout { 1500 }; // ms of silence after which a peer counts as gone
    Millis forgetTimeout { 3600000 }; // ms of silence after which a peer is no longer greeted
    Clock clock;
};

// One peer, as last heard.
struct Peer {
    std::string node;
    uint64_t incarnation = 0;
    Heartbeat heartbeat;
    Millis heardAt { 0 };
    bool alive = false;
};

// Sends and receives the messages between nodes.
class PeerLink : public QObject {
    Q_OBJECT
public:
    explicit PeerLink(PeerLinkOptions options);

    // Binds the socket and starts the heartbeat.
    absl::Status start();

    // What the next heartbeats say.
    void setHeartbeat(const Heartbeat& heartbeat);

    // Sends a message to every peer that is alive.
    template <typename Message>
    void broadcast(const Message& message)
    {
        const QByteArray bytes = sealMessage(message, nextSender(), options_.clusterKey);
        for (const Peer& peer : peers()) {
            if (peer.alive)
                send(bytes, peer.heartbeat.peers);
        }
    }

    // All peers heard of within the forget timeout. Thread-safe.
    std::vector<Peer> peers() const;

    // Called for each authenticated message that is not older than one seen before.
    std::function<void(const Envelope&)> onMessage;

    // Called when a peer appears, restarts or falls silent.
    std::function<void(const Peer&)> onPeerChanged;

    // Datagrams refused since the start: foreign, truncated, forged or old.
    uint64_t refusedCount() const { return refused_; }

private:
    Sender nextSender();
    void send(const QByteArray& bytes, const std::string& endpoint);
    void readDatagrams();
    void receive(const QByteArray& bytes);
    bool acceptSender(const Sender& sender);
    void takeHeartbeat(const Envelope& envelope);
    void takeNodes(const Envelope& envelope);
    void tick();
    void noteSilentPeers();

    PeerLinkOptions options_;
    QUdpSocket socket_;
    QTimer timer_;
    Heartbeat heartbeat_;
    uint64_t sequence_ = 0;
    uint64_t ticks_ = 0;
    uint64_t refused_ = 0;
    std::map<std::string, Sender> lastSender_; // by node
    std::map<std::string, std::string> greetings_; // endpoints to greet, by node or by themselves
    mutable std::mutex mutex_; // guards peers_; a leaf
    std::map<std::string, Peer> peers_;
};

} // namespace hemlockweir
