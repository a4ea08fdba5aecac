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

// Who the other nodes are, and datagrams between them. Lives on the control thread; the node
// table can be read from any thread.
//
// At every tick a node raises its beat and sends a digest of what it knows to a few random nodes
// of its failure domain, as many as a budget of bytes allows; so news reaches every node by way of
// others, also where a direct path is cut. Two relays of each failure domain do the same with the
// relays of the others. Seeds and silent peers are greeted now and then, which heals partitions.
// Nothing here needs the platform.

namespace hemlockweir {

// What a link needs to know.
struct PeerLinkOptions {
    std::string node;
    uint64_t incarnation = 0; // differs at each start of the node
    QHostAddress address;
    quint16 port = 0; // UDP
    std::vector<std::string> seeds; // ADDRESS:PORT
    QByteArray clusterKey;
    Millis heartbeatInterval { 200 };
    Millis aliveTimeout { 1500 }; // ms of silence after which a peer counts as gone; longer in large domains
    Millis forgetTimeout { 3600000 }; // ms of silence after which a peer is no longer greeted
    int nearBytesPerSecond = 3000; // budget of digests within the failure domain
    int farBytesPerSecond = 1500; // budget of a relay's digests to other failure domains
    int broadcastBytesPerSecond = 2500; // budget of broadcasts, once there are more peers than a few
    int relayedBytesPerSecond = 2000; // budget of a relay for load figures of others, likewise
    int answerBytesPerSecond = 1000; // budget of answers to peers; those beyond it are asked for again
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

    // What the next heartbeats say. Needed before start().
    void setHeartbeat(const Heartbeat& heartbeat);

    // Sends a message to every living peer: to those of the same failure domain at once, and by
    // the relays to the other failure domains if isRelayed() says so for its kind.
    template <typename Message>
    void broadcast(const Message& message)
    {
        broadcastBytes(sealMessage(message, nextSender(), options_.clusterKey), Message::kind);
    }

    // Tells a few peers at once what setHeartbeat() said, instead of at the next tick.
    void announce();

    // How long to wait with shared tables, so that all broadcasts together keep to their budget;
    // nothing while there are few peers.
    Millis broadcastDelay() const;

    // All peers heard of within the forget timeout. Thread-safe.
    std::vector<Peer> peers() const;

    // The nodes of this failure domain, this one included, that are first in line for a role;
    // those that can not reach the platform only if too few others are left. Thread-safe.
    bool isSelectedFor(std::string_view role, size_t count) const;

    // Called for each authenticated message that is not older than one seen before.
    std::function<void(const Envelope&)> onMessage;

    // Called when a peer appears, restarts or falls silent.
    std::function<void(const Peer&)> onPeerChanged;

    PeerTraffic traffic() const { return traffic_; }
    uint64_t refusedCount() const { return traffic_.refused; }

private:
    Sender nextSender();
    void send(const QByteArray& bytes, const std::string& endpoint, SendPurpose purpose);
    void broadcastBytes(const QByteArray& bytes, MessageKind kind);
    void sendToAll(const QByteArray& bytes, const std::vector<Peer>& targets, SendPurpose purpose);
    void sendToSome(const QByteArray& bytes, std::vector<Peer> targets, ByteBudget& budget, double allowedDebt, SendPurpose purpose);
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
    void handleWanted(const Envelope& envelope);
    void handleChallenge(const Envelope& envelope);
    void handleChallengeAnswer(const Envelope& envelope);

    PeerLinkOptions options_;
    QUdpSocket socket_;
    QTimer timer_;
    Heartbeat heartbeat_;
    uint64_t sequence_ = 0;
    uint32_t beat_ = 0;
    size_t nextRepair_ = 0; // whose record goes out next though it is no news
    ByteBudget nearBudget_;
    ByteBudget farBudget_;
    ByteBudget broadcastBudget_;
    ByteBudget relayedBudget_;
    ByteBudget answerBudget_;
    PeerTraffic traffic_;
    SenderCheck senders_;
    mutable std::mutex mutex_; // guards table_; a leaf
    NodeTable table_;
};

} // namespace hemlockweir
