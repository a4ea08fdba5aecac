#include "membership/PeerLink.h"

#include "base/Log.h"
#include "base/Rendezvous.h"

#include <QNetworkDatagram>
#include <QUrl>
#include <algorithm>
#include <cmath>
#include <set>

namespace hemlockweir {

// Ticks between two handshakes to seeds or unresponsive peers while other peers are alive.
static constexpr uint32_t ticksPerHandshake = 5;
static constexpr double msPerSecond = 1000.0;
// Seconds of unused budget that can accumulate. The answer budget allows a larger burst because a
// node that starts or heals a partition answers many peers at once.
static constexpr double burstSeconds = 1.0;
static constexpr double answerBurstSeconds = 20.0;
// Number of peers up to which broadcasts are not limited.
static constexpr size_t maxUnlimitedPeers = 8;

PeerLink::PeerLink(PeerLinkOptions options)
    : options_(std::move(options))
    , nearBudget_(options_.nearBytesPerSecond, options_.nearBytesPerSecond * burstSeconds)
    , farBudget_(options_.farBytesPerSecond, options_.farBytesPerSecond * burstSeconds)
    , broadcastBudget_(options_.broadcastBytesPerSecond, 0)
    , relayedBudget_(options_.relayedBytesPerSecond, options_.relayedBytesPerSecond * burstSeconds)
    , answerBudget_(options_.answerBytesPerSecond, options_.answerBytesPerSecond * answerBurstSeconds)
    , senders_({ .secret = options_.random() })
    , table_({ .node = options_.node, .heartbeatInterval = options_.heartbeatInterval, .aliveTimeout = options_.aliveTimeout, .forgetTimeout = options_.forgetTimeout })
{
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
    std::lock_guard lock(mutex_);
    table_.setOwn(heartbeat);
}

std::vector<Peer> PeerLink::peers() const
{
    std::lock_guard lock(mutex_);
    return table_.all();
}

bool PeerLink::isSelectedFor(std::string_view role, size_t count) const
{
    std::vector<std::string> connected;
    std::vector<std::string> disconnected;
    std::lock_guard lock(mutex_);
    auto add = [&](const std::string& name, const Heartbeat& heartbeat) {
        if (!heartbeat.leaving)
            (heartbeat.platformDown ? disconnected : connected).push_back(name);
    };
    for (const Peer& peer : table_.near())
        add(peer.node, peer.heartbeat);
    add(options_.node, heartbeat_);
    const std::vector<std::string> selected = pickPreferred(connected, disconnected, role, count);
    return std::find(selected.begin(), selected.end(), options_.node) != selected.end();
}

Sender PeerLink::nextSender()
{
    return { .node = options_.node, .incarnation = options_.incarnation, .sequence = ++sequence_ };
}

void PeerLink::send(const QByteArray& bytes, const std::string& endpoint, SendPurpose purpose)
{
    const QUrl url(QString::fromStdString("udp://" + endpoint));
    socket_.writeDatagram(bytes, QHostAddress(url.host()), static_cast<quint16>(url.port(0)));
    ++traffic_.datagramsSent;
    const uint64_t cost = static_cast<uint64_t>(bytes.size()) + datagramHeaderBytes;
    traffic_.bytesSent += cost;
    traffic_.bytesSentFor[static_cast<size_t>(purpose)] += cost;
}

void PeerLink::sendToAll(const QByteArray& bytes, const std::vector<Peer>& targets, SendPurpose purpose)
{
    for (const Peer& peer : targets)
        send(bytes, peer.heartbeat.peerEndpoint, purpose);
}

void PeerLink::sendToRandom(const QByteArray& bytes, std::vector<Peer> targets, ByteBudget& budget, double allowedDebt, SendPurpose purpose)
{
    const Millis now = options_.clock();
    const size_t cost = static_cast<size_t>(bytes.size()) + datagramHeaderBytes;
    for (size_t i = 0; i < targets.size() && budget.tryConsume(cost, now, allowedDebt); ++i) {
        std::swap(targets[i], targets[i + options_.random() % (targets.size() - i)]);
        send(bytes, targets[i].heartbeat.peerEndpoint, purpose);
    }
}

void PeerLink::sendAnswer(const QByteArray& bytes, const std::string& endpoint)
{
    if (answerBudget_.tryConsume(static_cast<size_t>(bytes.size()) + datagramHeaderBytes, options_.clock()))
        send(bytes, endpoint, SendPurpose::Answer);
}

void PeerLink::broadcastBytes(const QByteArray& bytes, MessageKind kind)
{
    std::vector<Peer> near;
    std::vector<Peer> far;
    {
        std::lock_guard lock(mutex_);
        near = table_.near();
        if (isRelayed(kind) && table_.isRelay())
            far = table_.farRelays();
    }
    broadcastBudget_.consume((near.size() + far.size()) * (static_cast<size_t>(bytes.size()) + datagramHeaderBytes), options_.clock());
    sendToAll(bytes, near, SendPurpose::NearBroadcast);
    sendToAll(bytes, far, SendPurpose::FarBroadcast);
}

void PeerLink::announce()
{
    ++beat_;
    sendDigests(options_.heartbeatInterval);
}

Millis PeerLink::broadcastDelay() const
{
    std::lock_guard lock(mutex_);
    return table_.size() <= maxUnlimitedPeers ? Millis(0) : broadcastBudget_.timeUntilRepaid(options_.clock());
}

void PeerLink::tick()
{
    ++beat_;
    sendDigests(Millis(0));
    sendHandshakes();
    detectUnresponsivePeers();
}

// `allowedDebt`: budget of this much future time may be used, for urgent updates.
void PeerLink::sendDigests(Millis allowedDebt)
{
    const double seconds = static_cast<double>(allowedDebt.count()) / msPerSecond;
    std::vector<Peer> near;
    std::vector<Peer> far;
    {
        std::lock_guard lock(mutex_);
        near = table_.near();
        if (table_.isRelay())
            far = table_.farRelays();
    }
    if (!near.empty())
        sendToRandom(makeDigest(true), near, nearBudget_, options_.nearBytesPerSecond * seconds, SendPurpose::NearDigest);
    if (!far.empty())
        sendToRandom(makeDigest(false), far, farBudget_, options_.farBytesPerSecond * seconds, SendPurpose::FarDigest);
}

NodeRecord PeerLink::ownRecord() const
{
    return { .node = options_.node, .incarnation = options_.incarnation, .beat = beat_, .heartbeat = heartbeat_ };
}

QByteArray PeerLink::makeDigest(bool toNear)
{
    Digest digest { .records = { ownRecord() }, .beats = {} };
    {
        std::lock_guard lock(mutex_);
        digest.beats = table_.beats(toNear);
        addChangedRecords(digest, toNear);
    }
    while (digest.beats.size() > maxBeatsPerDigest) {
        digest.beats[options_.random() % digest.beats.size()] = digest.beats.back();
        digest.beats.pop_back();
    }
    return sealMessage(digest, nextSender(), options_.clusterKey);
}

void PeerLink::addChangedRecords(Digest& digest, bool toNear)
{
    constexpr size_t maxChangedRecords = 3;
    std::vector<Peer*> known;
    for (const BeatRow& row : digest.beats) {
        for (auto& [name, peer] : table_.peers()) {
            if (peer.id == row.id)
                known.push_back(&peer);
        }
    }
    auto add = [&](const Peer& peer) {
        digest.records.push_back({ .node = peer.node, .incarnation = peer.incarnation, .beat = peer.recordBeat, .heartbeat = peer.heartbeat });
    };
    for (Peer* peer : known) {
        if (peer->remainingSends == 0 || digest.records.size() > maxChangedRecords)
            continue;
        add(*peer);
        if (toNear)
            --peer->remainingSends;
    }
    // One more record, in turn, repairs records that were lost in transit.
    if (!known.empty())
        add(*known[++nextRepair_ % known.size()]);
}

// Sends a handshake to one seed or unresponsive peer, or to all of them while no peer is alive.
void PeerLink::sendHandshakes()
{
    std::set<std::string> reachable;
    std::set<std::string> unreachable(options_.seeds.begin(), options_.seeds.end());
    for (const Peer& peer : peers())
        (peer.alive ? reachable : unreachable).insert(peer.heartbeat.peerEndpoint);
    unreachable.erase(heartbeat_.peerEndpoint);
    for (const std::string& endpoint : reachable)
        unreachable.erase(endpoint);
    if (unreachable.empty() || (!reachable.empty() && beat_ % ticksPerHandshake != 0))
        return;
    Digest handshake { .records = { ownRecord() }, .beats = {} };
    std::vector<std::string> targets(unreachable.begin(), unreachable.end());
    if (!reachable.empty())
        targets = { targets[options_.random() % targets.size()] };
    for (const std::string& endpoint : targets)
        send(sealMessage(handshake, nextSender(), options_.clusterKey), endpoint, SendPurpose::Handshake);
}

void PeerLink::detectUnresponsivePeers()
{
    std::vector<Peer> unresponsive;
    std::vector<std::string> forgotten;
    {
        std::lock_guard lock(mutex_);
        unresponsive = table_.markUnresponsive(options_.clock(), forgotten);
    }
    for (const std::string& node : forgotten)
        senders_.forget(node);
    for (const Peer& peer : unresponsive) {
        logWarning("peer_silent", { { "peer", peer.node } });
        if (onPeerChanged)
            onPeerChanged(peer);
    }
}

void PeerLink::notifyChanged(const Peer& peer)
{
    logInfo("peer_alive", { { "peer", peer.node }, { "incarnation", std::to_string(peer.incarnation) }, { "domain", peer.heartbeat.domain } });
    if (onPeerChanged)
        onPeerChanged(peer);
}

void PeerLink::readDatagrams()
{
    while (socket_.hasPendingDatagrams()) {
        const QNetworkDatagram datagram = socket_.receiveDatagram(maxDatagramBytes + 1);
        ++traffic_.datagramsReceived;
        traffic_.bytesReceived += static_cast<uint64_t>(datagram.data().size()) + datagramHeaderBytes;
        if (datagram.data().size() > maxDatagramBytes)
            ++traffic_.refused;
        else
            receive(datagram.data());
    }
}

void PeerLink::receive(const QByteArray& bytes)
{
    const absl::StatusOr<Envelope> envelope = openEnvelope(bytes, options_.clusterKey);
    if (!envelope.ok() || envelope->sender.node == options_.node) {
        ++traffic_.refused;
        return;
    }
    // These two messages confirm a sender, so they are handled before the sender is confirmed.
    if (envelope->kind == MessageKind::Challenge)
        handleChallenge(*envelope);
    else if (envelope->kind == MessageKind::ChallengeAnswer)
        handleChallengeAnswer(*envelope);
    else if (checkSender(*envelope))
        handle(*envelope, bytes);
}

bool PeerLink::checkSender(const Envelope& envelope)
{
    const SenderVerdict verdict = senders_.check(envelope.sender);
    if (verdict == SenderVerdict::Challenge)
        challenge(envelope);
    else if (verdict == SenderVerdict::Refuse)
        ++traffic_.refused;
    return verdict == SenderVerdict::Accept;
}

// Only a digest contains the endpoint of its sender, so other messages cannot be challenged.
void PeerLink::challenge(const Envelope& envelope)
{
    const absl::StatusOr<Digest> digest = envelope.kind == MessageKind::Digest ? decodeBody<Digest>(envelope.body) : Digest();
    if (!digest.ok() || digest->records.empty()) {
        ++traffic_.refused;
        return;
    }
    const uint64_t nonce = senders_.nonceFor(envelope.sender, options_.clock());
    answer(Challenge { .nonce = nonce, .replyTo = heartbeat_.peerEndpoint }, digest->records.front().heartbeat.peerEndpoint);
}

void PeerLink::handleChallenge(const Envelope& envelope)
{
    const absl::StatusOr<Challenge> challenge = decodeBody<Challenge>(envelope.body);
    if (challenge.ok())
        answer(ChallengeAnswer { .nonce = challenge->nonce }, challenge->replyTo);
    else
        ++traffic_.refused;
}

void PeerLink::handleChallengeAnswer(const Envelope& envelope)
{
    const absl::StatusOr<ChallengeAnswer> answer = decodeBody<ChallengeAnswer>(envelope.body);
    if (!answer.ok() || !senders_.confirm(envelope.sender, answer->nonce, options_.clock()))
        ++traffic_.refused;
}

void PeerLink::handle(const Envelope& envelope, const QByteArray& bytes)
{
    if (envelope.kind == MessageKind::Relayed) {
        handleRelayed(envelope);
        return;
    }
    if (envelope.kind == MessageKind::Digest)
        handleDigest(envelope);
    else if (envelope.kind == MessageKind::RecordsRequest)
        handleRecordsRequest(envelope);
    relay(envelope, bytes, envelope.sender.node, false);
    if (onMessage)
        onMessage(envelope);
}

void PeerLink::handleRelayed(const Envelope& envelope)
{
    const absl::StatusOr<Relayed> relayed = decodeBody<Relayed>(envelope.body);
    const QByteArray bytes = relayed.ok() ? QByteArray::fromStdString(relayed->envelope) : QByteArray();
    const absl::StatusOr<Envelope> inner = openEnvelope(bytes, options_.clusterKey);
    if (!inner.ok() || !isRelayed(inner->kind)) {
        ++traffic_.refused;
        return;
    }
    // The other relay forwards the same message, and messages of this node may come back.
    if (inner->sender.node == options_.node || !senders_.acceptRelayed(inner->sender))
        return;
    relay(*inner, bytes, envelope.sender.node, true);
    if (onMessage)
        onMessage(*inner);
}

// Forwards messages of this domain to the relays of the other domains, and messages from there to
// the nodes of this domain. Each node accepts a message once, by its sender's sequence number, so
// messages cannot loop.
void PeerLink::relay(const Envelope& envelope, const QByteArray& bytes, const std::string& fromNode, bool wasRelayed)
{
    if (!isRelayed(envelope.kind))
        return;
    std::vector<Peer> targets;
    {
        std::lock_guard lock(mutex_);
        const Peer* from = table_.find(fromNode);
        if (!from || !table_.isRelay())
            return;
        const bool isFromHere = from->heartbeat.domain == heartbeat_.domain;
        if (isFromHere && wasRelayed)
            return;
        targets = isFromHere ? table_.farRelays() : table_.near();
    }
    if (targets.empty())
        return;
    const QByteArray sealed = sealMessage(Relayed { .envelope = bytes.toStdString() }, nextSender(), options_.clusterKey);
    if (!consumeRelayBudget(envelope.kind, targets.size() * (static_cast<size_t>(sealed.size()) + datagramHeaderBytes))) {
        ++traffic_.relayDropped;
        return;
    }
    traffic_.relayed += targets.size();
    sendToAll(sealed, targets, SendPurpose::Relayed);
}

// Load figures are sent repeatedly, so a relay may drop some of them; other kinds are always
// forwarded.
bool PeerLink::consumeRelayBudget(MessageKind kind, size_t bytes)
{
    {
        std::lock_guard lock(mutex_);
        if ((kind != MessageKind::Groups && kind != MessageKind::Usage) || table_.size() <= maxUnlimitedPeers)
            return true;
    }
    return relayedBudget_.tryConsume(bytes, options_.clock());
}

void PeerLink::handleDigest(const Envelope& envelope)
{
    const absl::StatusOr<Digest> digest = decodeBody<Digest>(envelope.body);
    if (!digest.ok() || digest->records.empty()) {
        ++traffic_.refused;
        return;
    }
    const Millis now = options_.clock();
    std::vector<Peer> changed;
    RecordsRequest request;
    {
        std::lock_guard lock(mutex_);
        for (const NodeRecord& record : digest->records) {
            const bool isDirect = record.node == envelope.sender.node && record.incarnation == envelope.sender.incarnation;
            if (const auto peer = table_.applyRecord(record, now, isDirect))
                changed.push_back(*peer);
        }
        const uint64_t ownId = makeBeatId(options_.node, options_.incarnation);
        for (const BeatRow& row : digest->beats) {
            if (row.id != ownId && !table_.applyBeat(row, now) && request.ids.size() < maxRecordsPerDigest)
                request.ids.push_back(row.id);
        }
    }
    if (!request.ids.empty())
        answer(request, digest->records.front().heartbeat.peerEndpoint);
    for (const Peer& peer : changed)
        notifyChanged(peer);
}

void PeerLink::handleRecordsRequest(const Envelope& envelope)
{
    constexpr size_t recordsPerDatagram = 8;
    const absl::StatusOr<RecordsRequest> request = decodeBody<RecordsRequest>(envelope.body);
    if (!request.ok()) {
        ++traffic_.refused;
        return;
    }
    Digest digest { .records = { ownRecord() }, .beats = {} };
    std::string endpoint;
    {
        std::lock_guard lock(mutex_);
        if (const Peer* sender = table_.find(envelope.sender.node))
            endpoint = sender->heartbeat.peerEndpoint;
        for (const uint64_t id : request->ids) {
            const Peer* peer = table_.findById(id);
            if (peer && digest.records.size() < recordsPerDatagram)
                digest.records.push_back({ .node = peer->node, .incarnation = peer->incarnation, .beat = peer->beat, .heartbeat = peer->heartbeat });
        }
    }
    if (!endpoint.empty())
        answer(digest, endpoint);
}

} // namespace hemlockweir
