#include "node/Node.h"

#include "base/Log.h"
#include "base/Rendezvous.h"

#include <QJsonArray>
#include <QUrl>
#include <algorithm>
#include <chrono>
#include <map>
#include <set>

namespace hemlockweir {

static constexpr Millis pumpInterval { 5 }; // while jobs wait
static constexpr Millis idlePumpInterval { 100 };
static constexpr Millis stopCheckInterval { 20 };
static constexpr Millis maxClaimDrainTime { 60000 }; // longest wait of a planned stop for claims that other nodes run

// Returns the wall time in milliseconds, because operators can read it. Peers compare it for equality,
// so a clock that is behind does no harm. Only peers that know this node through others prefer the
// larger value, until the previous start counts as unresponsive.
static uint64_t makeIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<uint64_t>(std::chrono::duration_cast<Millis>(now).count());
}

static KvClient::Options makePlatformOptions(const Settings& settings)
{
    KvClient::Options options;
    for (const std::string& url : settings.platformUrls)
        options.endpoints.emplace_back(QString::fromStdString(url));
    return options;
}

static PeerLinkOptions makePeerOptions(const Settings& settings, uint64_t incarnation, const Clock& clock, const Random& random)
{
    PeerLinkOptions options { .node = settings.node,
        .incarnation = incarnation,
        .address = QHostAddress(QString::fromStdString(settings.peers.address)),
        .port = settings.peers.port,
        .seeds = {},
        .clusterKey = QByteArray::fromStdString(settings.clusterKey),
        .heartbeatInterval = settings.heartbeatInterval,
        .clock = clock,
        .random = random };
    for (const Endpoint& seed : settings.seeds)
        options.seeds.push_back(seed.toString());
    return options;
}

static HttpServerOptions makeServerOptions(const Settings& settings, const TlsFiles& tls, std::shared_ptr<MemoryBudget> memory)
{
    HttpServerOptions options { .address = QHostAddress(QString::fromStdString(settings.callers.address)),
        .port = settings.callers.port,
        .workers = settings.workers,
        .limits = { .headBytes = settings.headBytes, .bodyBytes = settings.bodyBytes },
        .requestTimeout = settings.requestTimeout,
        .idleTimeout = settings.idleTimeout,
        .peerTimeout = settings.callerTimeout,
        .maxConnections = settings.maxConnections,
        .maxConnectionsPerAddress = settings.maxConnectionsPerAddress,
        .discardBytes = settings.discardBytes,
        .replyBufferBytes = settings.replyBufferBytes,
        .memory = std::move(memory),
        .tls = {} };
    if (!settings.tlsCertificateFile.empty())
        options.tls = [&tls] { return tls.configuration(); };
    return options;
}

Node::Node(Settings settings)
    : settings_(std::move(settings))
    , clock_(makeSteadyClock())
    , random_(makeSystemRandom())
    , incarnation_(makeIncarnation())
    , fleet_({ .freshness = settings_.statusFreshness, .clock = clock_ })
    , scheduler_({ .policy = parseSchedulePolicy(settings_.schedulePolicy),
          .maxWaiting = static_cast<size_t>(settings_.maxWaiting),
          .node = settings_.node,
          .domain = settings_.domain,
          .clock = clock_,
          .random = random_,
          .findReplicas = [this](const std::string& model) { return fleet_.findReplicas(model); },
          .onWaiting = [this] { QMetaObject::invokeMethod(this, [this] { pumpEvery(pumpInterval); }); } })
    , platform_(makePlatformOptions(settings_))
    , peerClient_({ .node = settings_.node, .incarnation = incarnation_, .clusterKey = QByteArray::fromStdString(settings_.clusterKey) })
    , sharedWriter_(makeSharedWriterOptions())
    , ledger_({ .owner = settings_.node + "/" + std::to_string(incarnation_), .clock = clock_, .random = random_ }, makeSharedClaimStore())
    , homeLedger_({ .home = settings_.advertisedPeers.toString(), .start = random_(), .clusterKey = QByteArray::fromStdString(settings_.clusterKey), .clock = clock_, .random = random_ })
    , homeLink_({ .node = settings_.node, .home = settings_.advertisedPeers.toString(), .clusterKey = QByteArray::fromStdString(settings_.clusterKey), .random = random_ }, homeLedger_, peerClient_)
    , claims_(ledger_, homeLink_.client())
    , peerServer_(makePeerServerOptions())
    , peers_(makePeerOptions(settings_, incarnation_, clock_, random_))
    , schedulerExchange_(scheduler_, peers_, metrics_)
    , configServer_(makeConfigServerOptions())
    , follower_(makeFollowerOptions(), config_, platform_)
    , manager_({ .node = settings_.node,
                   .incarnation = incarnation_,
                   .domain = settings_.domain,
                   .instancesUrl = QUrl(QString::fromStdString(settings_.instancesUrl)),
                   .statusInterval = settings_.statusInterval,
                   .statusFreshness = settings_.statusFreshness,
                   .leaseTtl = std::chrono::duration_cast<std::chrono::seconds>(settings_.leaseTtl),
                   .clock = clock_,
                   .random = random_,
                   .models = [this] { return config_.snapshot().configuration->models; },
                   .domainsToPlan = [this] { return domainsToPlan(); },
                   .rankFor = [this](const std::string& domain) { return rankFor(domain); },
                   .shouldObserve = [this](const Instance& instance) { return shouldObserve(instance); },
                   .isShared = [this](const Instance& instance) { return instance.domain == settings_.domain && isEngine(instance); },
                   .nodesOfDomain = [this] { return liveNodesIn(settings_.domain); },
                   .rankAmong = [this](const std::vector<std::string>& nodes, const std::string& role) { return rankAmong(nodes, role); },
                   .broadcastStatuses = [this](const Statuses& message) { peers_.broadcast(message); },
                   .broadcastTableRequest = [this](const StatusesRequest& message) { peers_.broadcast(message); } },
          fleet_, platform_)
    , groupExchange_({ .clock = clock_,
                         .broadcast = [this](const Groups& message) { peers_.broadcast(message); },
                         .shouldPublish = [this](const GroupCondition& group) { return shouldPublish(group); } },
          fleet_)
    , quarantine_({ .node = settings_.node, .clock = clock_, .ownsGroup = [this](const std::string& group) { return ownsGroup(group); }, .onChange = [this] { QMetaObject::invokeMethod(this, [this] { suspects_.publish(); }); } })
    , suspects_(quarantine_, [this](const Suspects& message) { peers_.broadcast(message); })
    , context_ { .config = config_,
        .fleet = fleet_,
        .scheduler = scheduler_,
        .metrics = metrics_,
        .ledger = claims_,
        .homeLedger = homeLedger_,
        .quarantine = quarantine_,
        .clock = clock_,
        .random = random_,
        .silenceTimeout = settings_.silenceTimeout }
    , report_(makeReportOptions(), fleet_, platform_)
    , api_({ .operatorKey = QByteArray::fromStdString(settings_.operatorKey), .maxRequestsPerCaller = settings_.maxRequestsPerCaller }, context_, { .isReady = [this] { return isReady(); }, .status = [this] { return makeStatus(); }, .report = &report_ })
    , tls_({ .certificateFile = settings_.tlsCertificateFile, .keyFile = settings_.tlsKeyFile })
    , callerMemory_(std::make_shared<MemoryBudget>(settings_.callerMemory, clock_))
    , server_(makeServerOptions(settings_, tls_, callerMemory_), [this](std::shared_ptr<Exchange> exchange) { api_.handle(std::move(exchange)); })
{
    connectComponents();
}

Node::~Node() = default;

void Node::connectComponents()
{
    homeLink_.serveAt(peerServer_);
    peerServer_.setHandler(MessageKind::ConfigRequest, [this](const Envelope& envelope, const PeerServer::Responder& respond) { respond(configServer_.answer(envelope)); });
    peerServer_.setHandler(MessageKind::ClaimBatch, [this](const Envelope& envelope, const PeerServer::Responder& respond) {
        const auto batch = decodeBody<ClaimBatch>(envelope.body);
        if (batch.ok())
            sharedWriter_.writeForPeer(*batch, [this, respond](const ClaimBatchAnswer& results) { respond(peerClient_.seal(results)); });
        else
            respond(std::nullopt);
    });
    peers_.onMessage = [this](const Envelope& envelope) { handleMessage(envelope); };
    peers_.onPeerChanged = [this](const Peer& peer) {
        if (peer.alive)
            return;
        scheduler_.dropPeer(peer.node);
        quarantine_.dropPeer(peer.node);
    };
    metrics_.onRequest = [this](const RequestRecord& record) { report_.record(record); };
    follower_.onAdopted = [this](const ConfigSnapshot&) {
        peers_.setHeartbeat(makeHeartbeat());
        peers_.announce();
    };
    connect(&publishTimer_, &QTimer::timeout, this, &Node::publishState);
    connect(&pumpTimer_, &QTimer::timeout, this, &Node::pump);
    connect(&tlsTimer_, &QTimer::timeout, this, &Node::checkTlsFiles);
    connect(&stopTimer_, &QTimer::timeout, this, &Node::checkStopped);
}

absl::Status Node::start()
{
    if (const absl::Status status = startTls(); !status.ok())
        return status;
    peers_.setHeartbeat(makeHeartbeat());
    if (const absl::Status status = peers_.start(); !status.ok())
        return status;
    if (const absl::Status status = peerServer_.start(); !status.ok())
        return status;
    if (const absl::Status status = server_.start(); !status.ok())
        return status;
    follower_.start();
    manager_.start();
    report_.start();
    publishTimer_.start(settings_.heartbeatInterval);
    pumpTimer_.start(idlePumpInterval);
    logInfo("node_started", { { "node", settings_.node }, { "incarnation", std::to_string(incarnation_) }, { "domain", settings_.domain }, { "callers", settings_.callers.toString() }, { "max_connections", std::to_string(settings_.maxConnections) } });
    return absl::OkStatus();
}

void Node::pump()
{
    scheduler_.pump();
    pumpEvery(scheduler_.waitingCount() > 0 ? pumpInterval : idlePumpInterval);
}

// A timer that already has this interval is not restarted: under a high rate of requests it would be
// restarted before it ever fired.
void Node::pumpEvery(Millis interval)
{
    if (pumpTimer_.intervalAsDuration() != interval)
        pumpTimer_.start(interval);
}

absl::Status Node::startTls()
{
    if (settings_.tlsCertificateFile.empty())
        return absl::OkStatus();
    tlsTimer_.start(settings_.tlsCheckInterval);
    return tls_.load();
}

// Open connections keep the certificate of their TLS handshake.
void Node::checkTlsFiles()
{
    const int before = tls_.loadCount();
    const absl::Status status = tls_.loadIfChanged();
    if (!status.ok())
        logWarning("tls_files_refused", { { "error", std::string(status.message()) }, { "action", "the previous files stay in use" } });
    else if (tls_.loadCount() != before)
        logInfo("tls_files_loaded", { { "certificate", settings_.tlsCertificateFile } });
}

void Node::stop(std::function<void()> onStopped)
{
    if (context_.isStopping.exchange(true))
        return;
    logInfo("node_stopping", { { "in_flight", std::to_string(server_.requestsInFlight()) } });
    onStopped_ = std::move(onStopped);
    stoppingSince_ = clock_();
    manager_.release();
    homeLedger_.drain();
    peers_.setHeartbeat(makeHeartbeat());
    stopTimer_.start(stopCheckInterval);
}

// Returns whether the quiet time has passed without a request. A load balancer may keep sending requests
// long after /readyz fails, so the total wait is limited.
bool Node::canStopListening() const
{
    constexpr int maxQuietPeriods = 10;
    const Millis now = clock_();
    const Millis quietSince = std::max(stoppingSince_, context_.lastArrival.load());
    return now - quietSince >= settings_.shutdownQuiet || now - stoppingSince_ >= maxQuietPeriods * settings_.shutdownQuiet;
}

void Node::checkStopped()
{
    if (isListening_ && canStopListening()) {
        server_.stopListening();
        isListening_ = false;
    }
    const int inFlight = server_.requestsInFlight();
    const bool hasTimedOut = clock_() - stoppingSince_ >= settings_.shutdownTimeout;
    if (!hasTimedOut && (isListening_ || inFlight > 0))
        return;
    const bool hasClaimDrainTimedOut = clock_() - stoppingSince_ >= maxClaimDrainTime;
    if (!hasTimedOut && !hasClaimDrainTimedOut && isClaimHeldElsewhere()) {
        if (!std::exchange(isDrainingClaims_, true))
            logInfo("node_draining_claims", { { "claims", std::to_string(homeLedger_.heldCount()) } });
        return;
    }
    stopTimer_.stop();
    logInfo("node_stopped", { { "in_flight", std::to_string(inFlight) } });
    report_.stop(onStopped_);
}

// Returns whether a live peer holds a claim that this node granted and may still report its outcome.
bool Node::isClaimHeldElsewhere() const
{
    const std::vector<std::string> holders = homeLedger_.holders();
    if (holders.empty())
        return false;
    std::set<std::string> excluded { settings_.node };
    for (const Peer& peer : peers_.peers()) {
        if (!peer.alive)
            excluded.insert(peer.node);
    }
    return std::any_of(holders.begin(), holders.end(), [&](const std::string& node) { return !excluded.contains(node); });
}

void Node::updateGauges()
{
    const PeerTraffic traffic = peers_.traffic();
    metrics_.setGauge("hemlockweir_peer_bytes_sent_total", "Bytes of datagrams sent to peers, with headers", static_cast<double>(traffic.bytesSent));
    metrics_.setGauge("hemlockweir_peer_bytes_received_total", "Bytes of datagrams received from peers, with headers", static_cast<double>(traffic.bytesReceived));
    metrics_.setGauge("hemlockweir_peer_datagrams_sent_total", "Datagrams sent to peers", static_cast<double>(traffic.datagramsSent));
    metrics_.setGauge("hemlockweir_peer_datagrams_refused_total", "Datagrams refused: foreign, truncated, forged or old", static_cast<double>(traffic.refused));
    metrics_.setGauge("hemlockweir_peer_datagrams_relayed_total", "Datagrams passed on for other nodes", static_cast<double>(traffic.relayed));
    metrics_.setGauge("hemlockweir_peer_messages_not_relayed_total", "Messages of peers that a relay left out to keep its budget", static_cast<double>(traffic.relayDropped));
    for (size_t i = 0; i < sendPurposeCount; ++i) {
        const std::string name = std::string("hemlockweir_peer_bytes_sent_") + nameOf(static_cast<SendPurpose>(i)) + "_total";
        metrics_.setGauge(name, "Bytes of datagrams sent to peers for this purpose, with headers", static_cast<double>(traffic.bytesSentFor[i]));
    }
    metrics_.setGauge("hemlockweir_configuration_bytes_sent_total", "Bytes of configurations sent to peers", static_cast<double>(configServer_.bytesSent()));
    metrics_.setGauge("hemlockweir_platform_calls_total", "Calls to the platform's key-value service", static_cast<double>(platform_.callsMade()));
    metrics_.setGauge("hemlockweir_claim_writes_for_peers_total", "Writes of claims that this node made in the platform for others", static_cast<double>(sharedWriter_.writesForPeers()));
    metrics_.setGauge("hemlockweir_bound_keys_recorded", "Keys bound to this node that were claimed within their lifetime", static_cast<double>(homeLedger_.recordCount()));
    metrics_.setGauge("hemlockweir_bound_keys_held", "Those whose outcome is not told yet", static_cast<double>(homeLedger_.heldCount()));
    metrics_.setGauge("hemlockweir_bound_key_answer_bytes", "Bytes of answers kept under bound keys", static_cast<double>(homeLedger_.answerBytes()));
    metrics_.setGauge("hemlockweir_configuration_watching", "Whether this node watches the platform for the configuration: 0 or 1", follower_.isWatching() ? 1 : 0);
    const uint64_t drops = callerMemory_->drops();
    metrics_.setGauge("hemlockweir_caller_memory_bytes", "Bytes held for callers", static_cast<double>(callerMemory_->used()));
    metrics_.setGauge("hemlockweir_caller_memory_limit_bytes", "Bound on the bytes held for callers", static_cast<double>(callerMemory_->limit()));
    metrics_.setGauge("hemlockweir_caller_memory_drops_total", "Unfinished requests and unread answers dropped to keep the bound", static_cast<double>(drops));
    const uint64_t evictions = server_.evictedConnections();
    metrics_.setGauge("hemlockweir_caller_connections", "Open connections of callers", static_cast<double>(server_.connectionCount()));
    metrics_.setGauge("hemlockweir_caller_connections_limit", "Bound on the open connections of callers", settings_.maxConnections);
    metrics_.setGauge("hemlockweir_connections_evicted_total", "Connections closed because there were too many", static_cast<double>(evictions));
    metrics_.setGauge("hemlockweir_peer_connections_evicted_total", "Connections of other nodes closed because there were too many", static_cast<double>(peerServer_.evictedConnections()));
    metrics_.setGauge("hemlockweir_inputs_cut_total", "Connections of which refused input was not read to its end", static_cast<double>(server_.cutInputs()));
    if (const uint64_t before = std::exchange(loggedEvictions_, evictions); before != evictions)
        logWarning("connections_full", { { "closed", std::to_string(evictions - before) }, { "connections", std::to_string(server_.connectionCount()) }, { "limit", std::to_string(settings_.maxConnections) } });
    if (const uint64_t before = std::exchange(loggedMemoryDrops_, drops); before != drops)
        logWarning("caller_memory_full", { { "dropped", std::to_string(drops - before) }, { "held_bytes", std::to_string(callerMemory_->used()) }, { "limit_bytes", std::to_string(callerMemory_->limit()) } });
}

bool Node::hasNodeIn(const std::string& domain) const
{
    const std::vector<Peer> peers = peers_.peers();
    return domain == settings_.domain || std::any_of(peers.begin(), peers.end(), [&](const Peer& peer) {
        return peer.alive && !peer.heartbeat.leaving && peer.heartbeat.domain == domain;
    });
}

std::vector<std::string> Node::domainsToPlan() const
{
    std::set<std::string> domains = fleet_.domains();
    domains.insert(settings_.domain);
    std::erase_if(domains, [&](const std::string& domain) { return domain != settings_.domain && hasNodeIn(domain); });
    return { domains.begin(), domains.end() };
}

// A domain is planned by one of its own nodes, or by any node if it has no live node.
size_t Node::rankFor(const std::string& domain) const
{
    std::vector<std::string> candidates = liveNodesIn(domain);
    if (candidates.empty()) {
        for (const Peer& peer : peers_.peers()) {
            if (peer.alive && !peer.heartbeat.leaving)
                candidates.push_back(peer.node);
        }
    }
    return rankAmong(candidates, "planner of " + domain);
}

bool Node::isEngine(const Instance& instance) const
{
    const ConfigSnapshot config = config_.snapshot();
    const auto& models = config.configuration->models;
    return std::any_of(models.begin(), models.end(), [&](const Model& model) { return model.pool == instance.pool; });
}

bool Node::shouldObserve(const Instance& instance) const
{
    return instance.domain == settings_.domain || !isEngine(instance) || !hasNodeIn(instance.domain);
}

std::vector<std::string> Node::liveNodesIn(const std::string& domain) const
{
    std::vector<std::string> nodes;
    if (settings_.domain == domain)
        nodes.push_back(settings_.node);
    for (const Peer& peer : peers_.peers()) {
        if (peer.alive && !peer.heartbeat.leaving && peer.heartbeat.domain == domain)
            nodes.push_back(peer.node);
    }
    return nodes;
}

// Returns the number of candidates that rank before this node for a role.
size_t Node::rankAmong(std::vector<std::string> candidates, const std::string& role) const
{
    if (std::find(candidates.begin(), candidates.end(), settings_.node) == candidates.end())
        candidates.push_back(settings_.node);
    const std::vector<std::string> order = pickByRendezvous(candidates, role, candidates.size());
    return static_cast<size_t>(std::find(order.begin(), order.end(), settings_.node) - order.begin());
}

// Each group is owned by one live node. Only the owner sends suspects to it, so that two nodes never
// send suspects to one group at the same time.
bool Node::ownsGroup(const std::string& group) const
{
    std::vector<std::string> nodes;
    for (const Peer& peer : peers_.peers()) {
        if (peer.alive && !peer.heartbeat.leaving)
            nodes.push_back(peer.node);
    }
    return rankAmong(nodes, Quarantine::roleOf(group)) == 0;
}

bool Node::shouldPublish(const GroupCondition& group) const
{
    // Two nodes publish each group, so that the loss of one leaves no gap.
    constexpr size_t publishersPerGroup = 2;
    return rankAmong(liveNodesIn(settings_.domain), group.group) < publishersPerGroup;
}

void Node::handleMessage(const Envelope& envelope)
{
    manager_.handleMessage(envelope);
    groupExchange_.handle(envelope);
    suspects_.handle(envelope);
    if (envelope.kind == MessageKind::Usage)
        schedulerExchange_.handle(envelope);
    else if (envelope.kind == MessageKind::Counters)
        report_.handleCounters(envelope);
}

void Node::publishState()
{
    peers_.setHeartbeat(makeHeartbeat());
    suspects_.publish();
    metrics_.setGauge("hemlockweir_endpoint_deaths_on_requests", "Deaths of endpoints counted against requests that were on them", static_cast<double>(quarantine_.deaths().size()));
    if (clock_() >= nextPublishAt_) {
        groupExchange_.publish();
        schedulerExchange_.publish();
        nextPublishAt_ = clock_() + peers_.broadcastDelay();
    }
    updateGauges();
}

bool Node::isReady() const
{
    return !context_.isStopping && config_.snapshot().revision > 0;
}

static QJsonObject describeGroup(const GroupCondition& group, Millis now)
{
    QJsonArray members;
    for (const std::string& member : group.members)
        members.append(QString::fromStdString(member));
    return { { "group", QString::fromStdString(group.group) }, { "epoch", static_cast<double>(group.epoch) },
        { "model", QString::fromStdString(group.model) }, { "domain", QString::fromStdString(group.domain) }, { "members", members },
        { "whole", group.whole }, { "age_ms", static_cast<double>(group.whole ? (now - group.replica.reportedAt).count() : 0) }, { "reason", QString::fromStdString(group.reason) }, { "observer", QString::fromStdString(group.observer) } };
}

QJsonObject Node::makeStatus() const
{
    QJsonArray groups;
    for (const GroupCondition& group : fleet_.groups())
        groups.append(describeGroup(group, clock_()));
    for (const GroupCondition& group : fleet_.remoteGroups())
        groups.append(describeGroup(group, clock_()));
    QJsonArray observed;
    for (const std::string& instance : fleet_.observed())
        observed.append(QString::fromStdString(instance));
    QJsonArray peers;
    for (const Peer& peer : peers_.peers()) {
        peers.append(QJsonObject { { "node", QString::fromStdString(peer.node) }, { "domain", QString::fromStdString(peer.heartbeat.domain) },
            { "alive", peer.alive }, { "leaving", peer.heartbeat.leaving }, { "revision", static_cast<double>(peer.heartbeat.configRevision) } });
    }
    return { { "node", QString::fromStdString(settings_.node) }, { "incarnation", static_cast<double>(incarnation_) },
        { "domain", QString::fromStdString(settings_.domain) }, { "revision", static_cast<double>(config_.snapshot().revision) },
        { "ready", isReady() }, { "waiting", static_cast<int>(scheduler_.waitingCount()) }, { "groups", groups }, { "observed", observed }, { "peers", peers } };
}

} // namespace hemlockweir
