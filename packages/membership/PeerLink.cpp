#include "membership/PeerLink.h"

#include "base/Log.h"

#include <QNetworkDatagram>
#include <QUrl>

namespace hemlockweir {

// Introductions are sent once in so many heartbeats.
static constexpr uint64_t heartbeatsPerIntroduction = 5;

PeerLink::PeerLink(PeerLinkOptions options)
    : options_(std::move(options))
{
    for (const std::string& seed : options_.seeds)
        greetings_[seed] = seed;
    connect(&socket_, &QUdpSocket::readyRead, this, &PeerLink::readDatagrams);
    connect(&timer_, &QTimer::timeout, this, &PeerLink::tick);
}

absl::Status PeerLink::start()
{
    if (!socket_.bind(options_.address, options_.port)) {
        return absl::UnavailableError("cannot bind UDP " + options_.address.toString().toStdString() + ":" + std::to_string(options_.port)
            + ": " + socket_.errorString().toStdString());
    }
    timer_.start(options_.heartbeatInterval);
    tick();
    return absl::OkStatus();
}

void PeerLink::setHeartbeat(const Heartbeat& heartbeat)
{
    heartbeat_ = heartbeat;
}

std::vector<Peer> PeerLink::peers() const
{
    std::lock_guard lock(mutex_);
    std::vector<Peer> all;
    for (const auto& [name, peer] : peers_)
        all.push_back(peer);
    return all;
}

Sender PeerLink::nextSender()
{
    return { .node = options_.node, .incarnation = options_.incarnation, .sequence = ++sequence_ };
}

void PeerLink::send(const QByteArray& bytes, const std::string& endpoint)
{
    const QUrl url(QString::fromStdString("udp://" + endpoint));
    socket_.writeDatagram(bytes, QHostAddress(url.host()), static_cast<quint16>(url.port()));
}

void PeerLink::tick()
{
    const QByteArray heartbeat = sealMessage(heartbeat_, nextSender(), options_.clusterKey);
    for (const auto& [name, endpoint] : greetings_)
        send(heartbeat, endpoint);
    if (++ticks_ % heartbeatsPerIntroduction == 0) {
        Nodes nodes;
        for (const Peer& peer : peers()) {
            if (peer.alive && nodes.rows.size() < maxRowsPerMessage)
                nodes.rows.push_back({ .node = peer.node, .peers = peer.heartbeat.peers });
        }
        broadcast(nodes);
    }
    noteSilentPeers();
}

void PeerLink::noteSilentPeers()
{
    const Millis now = options_.clock();
    std::vector<Peer> fallen;
    {
        std::lock_guard lock(mutex_);
        for (auto it = peers_.begin(); it != peers_.end();) {
            Peer& peer = it->second;
            if (peer.alive && now - peer.heardAt > options_.aliveTimeout) {
                peer.alive = false;
                fallen.push_back(peer);
            }
            const bool forgotten = now - peer.heardAt > options_.forgetTimeout;
            if (forgotten)
                greetings_.erase(peer.node);
            it = forgotten ? peers_.erase(it) : std::next(it);
        }
    }
    for (const Peer& peer : fallen) {
        logWarning("peer_silent", { { "peer", peer.node } });
        if (onPeerChanged)
            onPeerChanged(peer);
    }
}

void PeerLink::readDatagrams()
{
    while (socket_.hasPendingDatagrams()) {
        const QNetworkDatagram datagram = socket_.receiveDatagram(maxDatagramBytes + 1);
        if (datagram.data().size() > maxDatagramBytes)
            ++refused_;
        else
            receive(datagram.data());
    }
}

void PeerLink::receive(const QByteArray& bytes)
{
    const absl::StatusOr<Envelope> envelope = openEnvelope(bytes, options_.clusterKey);
    if (!envelope.ok() || envelope->sender.node == options_.node || !acceptSender(envelope->sender)) {
        ++refused_;
        return;
    }
    if (envelope->kind == MessageKind::Heartbeat)
        takeHeartbeat(*envelope);
    else if (envelope->kind == MessageKind::Nodes)
        takeNodes(*envelope);
    if (onMessage)
        onMessage(*envelope);
}

bool PeerLink::acceptSender(const Sender& sender)
{
    // A datagram may overtake another by a little; only a copy of a long past one is refused.
    constexpr uint64_t reorderWindow = 64;
    Sender& last = lastSender_[sender.node];
    if (sender.incarnation < last.incarnation)
        return false;
    if (sender.incarnation == last.incarnation && sender.sequence + reorderWindow < last.sequence)
        return false;
    if (sender.incarnation > last.incarnation || sender.sequence > last.sequence)
        last = sender;
    return true;
}

void PeerLink::takeHeartbeat(const Envelope& envelope)
{
    const absl::StatusOr<Heartbeat> heartbeat = decodeBody<Heartbeat>(envelope.body);
    if (!heartbeat.ok()) {
        ++refused_;
        return;
    }
    Peer changed;
    bool isNews = false;
    {
        std::lock_guard lock(mutex_);
        Peer& peer = peers_[envelope.sender.node];
        isNews = !peer.alive || peer.incarnation != envelope.sender.incarnation || peer.heartbeat.leaving != heartbeat->leaving;
        peer = { .node = envelope.sender.node,
            .incarnation = envelope.sender.incarnation,
            .heartbeat = *heartbeat,
            .heardAt = options_.clock(),
            .alive = true };
        changed = peer;
    }
    greetings_[changed.node] = heartbeat->peers;
    if (!isNews)
        return;
    logInfo("peer_alive", { { "peer", changed.node }, { "incarnation", std::to_string(changed.incarnation) }, { "domain", heartbeat->domain } });
    if (onPeerChanged)
        onPeerChanged(changed);
}

void PeerLink::takeNodes(const Envelope& envelope)
{
    const absl::StatusOr<Nodes> nodes = decodeBody<Nodes>(envelope.body);
    if (!nodes.ok()) {
        ++refused_;
        return;
    }
    for (const NodeRow& row : nodes->rows) {
        if (row.node != options_.node)
            greetings_.try_emplace(row.node, row.peers);
    }
}

} // namespace hemlockweir
