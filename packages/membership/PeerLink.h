#pragma once

#include "base/Clock.h"
#include "membership/ByteBudget.h"
#include "membership/NodeTable.h"
#include "membership/PeerTraffic.h"
#include "membership/SenderCheck.h"
#include "wire/Codec.h"

#include <QHostAddress>
#include <QObject>
#include <QTimer>
#include <QUdpSocket>
#include <functional>
#include <mutex>

// Tracks cluster membership and exchanges datagrams with the other nodes. Runs on the control
// thread; the node table can be read from any thread.
//
// At every tick a node increments its heartbeat counter ("beat") and gossips: it sends a digest of
// the nodes that it knows to a few random nodes of its failure domain, as many as a byte budget
// allows. So updates reach every node indirectly, even where a direct path is cut. Two relays of
// each failure domain exchange digests with the relays of the other domains. A node also sends
// handshakes to seeds and unresponsive peers at intervals, which heals partitions. Membership does
// not depend on the platform.

namespace hemlockweir {

// Options of PeerLink.
struct PeerLinkOptions {
    std::string node;
    uint64_t incarnation = 0; // differs at each start of the node
    QHostAddress address;
    quint16 port = 0; // UDP
    std::vector<std::string> seeds; // ADDRESS:PORT
    QByteArray clusterKey;
    Millis heartbeatInterval { 200 };
    Millis aliveTimeout { 1500 }; // ms without a new beat after which a peer counts as unresponsive; longer in large domains
    Millis forgetTimeout { 3600000 }; // ms without a new beat after which a peer is removed and receives no more handshakes
    int nearBytesPerSecond = 3000; // budget for digests within the failure domain
    int farBytesPerSecond = 1500; // budget of a relay for digests to other failure domains
    int broadcastBytesPerSecond = 2500; // budget for broadcasts; applies above a small number of peers
    int relayedBytesPerSecond = 2000; // budget of a relay for forwarded load figures; applies likewise
    int answerBytesPerSecond = 1000; // budget for answers to peers; peers repeat requests that exceed it
    Clock clock;
    Random random;
};

// Sends and receives the messages between nodes.
class PeerLink : public QObject {
    Q_OBJECT
public:
    explicit PeerLink(PeerLinkOptions options);

    // Binds the socket and starts the heartbeat.
    absl::Status start();

    // Sets the content of the next heartbeats. Must be called before start().
    void setHeartbeat(const Heartbeat& heartbeat);

    // Sends a message to every live peer: directly to those of the same failure domain, and
    // through the relays to the other failure domains if isRelayed() is true for its kind.
    template <typename Message>
    void broadcast(const Message& message)
    {
        broadcastBytes(sealMessage(message, nextSender(), options_.clusterKey), Message::kind);
    }

    // Sends the state given to setHeartbeat() to a few peers now instead of at the next tick.
    void announce();

    // Returns how long to wait before the next broadcast of shared tables, so that all broadcasts
    // together stay within their budget. Zero while there are few peers.
    Millis broadcastDelay() const;

    // Returns all peers that are not removed by the forget timeout. Thread-safe.
    std::vector<Peer> peers() const;

    // Returns whether this node is among the `count` nodes of its failure domain that are selected
    // for a role by rendezvous hashing. Nodes that cannot reach the platform are selected only if
    // there are too few others; leaving nodes never. Thread-safe.
    bool isSelectedFor(std::string_view role, size_t count) const;

    // Called for each authenticated message, direct or relayed, that is neither a replay nor too old.
    std::function<void(const Envelope&)> onMessage;

    // Called when a peer appears, restarts, begins to leave, becomes unresponsive or responsive again.
    std::function<void(const Peer&)> onPeerChanged;

    PeerTraffic traffic() const { return traffic_; }
    uint64_t refusedCount() const { return traffic_.refused; }

private:
    Sender nextSender();
    void send(const QByteArray& bytes, const std::string& endpoint, SendPurpose purpose);
    void broadcastBytes(const QByteArray& bytes, MessageKind kind);
    void sendToAll(const QByteArray& bytes, const std::vector<Peer>& targets, SendPurpose purpose);
    void sendToRandom(const QByteArray& bytes, std::vector<Peer> targets, ByteBudget& budget, double allowedDebt, SendPurpose purpose);
    void sendAnswer(const QByteArray& bytes, const std::string& endpoint);
    template <typename Message>
    void answer(const Message& message, const std::string& endpoint)
    {
        sendAnswer(sealMessage(message, nextSender(), options_.clusterKey), endpoint);
    }

    void tick();
    void sendDigests(Millis allowedDebt);
    QByteArray makeDigest(bool toNear);
    NodeRecord ownRecord() const;
    void addChangedRecords(Digest& digest, bool toNear);
    void sendHandshakes();
    void detectUnresponsivePeers();
    void notifyChanged(const Peer& peer);

    void readDatagrams();
    void receive(const QByteArray& bytes);
    bool checkSender(const Envelope& envelope);
    void challenge(const Envelope& envelope);
    void handle(const Envelope& envelope, const QByteArray& bytes);
    void handleRelayed(const Envelope& envelope);
    void relay(const Envelope& envelope, const QByteArray& bytes, const std::string& fromNode, bool wasRelayed);
    bool consumeRelayBudget(MessageKind kind, size_t bytes);
    void handleDigest(const Envelope& envelope);
    void handleRecordsRequest(const Envelope& envelope);
    void handleChallenge(const Envelope& envelope);
    void handleChallengeAnswer(const Envelope& envelope);

    PeerLinkOptions options_;
    QUdpSocket socket_;
    QTimer timer_;
    Heartbeat heartbeat_;
    uint64_t sequence_ = 0;
    uint32_t beat_ = 0;
    size_t nextRepair_ = 0; // index of the record that is sent next even if unchanged
    ByteBudget nearBudget_;
    ByteBudget farBudget_;
    ByteBudget broadcastBudget_;
    ByteBudget relayedBudget_;
    ByteBudget answerBudget_;
    PeerTraffic traffic_;
    SenderCheck senders_;
    mutable std::mutex mutex_; // guards table_; no other lock is acquired while it is held
    NodeTable table_;
};

} // namespace hemlockweir
