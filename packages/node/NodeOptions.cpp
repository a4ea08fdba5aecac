#include "node/Node.h"

#include "base/Rendezvous.h"

#include <algorithm>
#include <map>

// Creates the options of the node's components, including the hooks that connect them to each other.

namespace hemlockweir {

static std::vector<WasteRow> makeWasteRows(const StrandedTotals& totals)
{
    return {
        { .cause = "missing_member", .strandedMs = totals.missingMemberMs },
        { .cause = "loading", .strandedMs = totals.loadingMs },
        { .cause = "no_partner", .strandedMs = totals.noPartnerMs },
        { .cause = "cut_off", .strandedMs = totals.cutOffMs },
        { .cause = "leaving", .strandedMs = totals.leavingMs },
        { .cause = "not_reporting", .strandedMs = totals.notReportingMs },
        { .cause = "group_down", .downtimeMs = totals.groupDownMs },
    };
}

ReportOptions Node::makeReportOptions()
{
    ReportOptions options { .own = { .node = settings_.node, .incarnation = incarnation_ }, .publishInterval = settings_.reportShareInterval, .flushInterval = settings_.reportFlushInterval };
    options.freshness = settings_.statusFreshness;
    options.clock = clock_;
    options.waste = [this] { return makeWasteRows(manager_.strandedTotals()); };
    options.broadcast = [this](const Counters& counters) { peers_.broadcast(counters); };
    options.isRunning = [this](const PartId& id) {
        const std::vector<Peer> peers = peers_.peers();
        return std::any_of(peers.begin(), peers.end(), [&](const Peer& peer) { return peer.alive && peer.node == id.node && peer.incarnation == id.incarnation; });
    };
    return options;
}

Heartbeat Node::makeHeartbeat() const
{
    return { .domain = settings_.domain,
        .region = settings_.region,
        .callerEndpoint = settings_.callers.toString(),
        .peerEndpoint = settings_.advertisedPeers.toString(),
        .configRevision = config_.snapshot().revision,
        .leaving = context_.isStopping,
        .platformDown = follower_.isPlatformDown() };
}

ConfigServer::Options Node::makeConfigServerOptions()
{
    return { .node = settings_.node,
        .incarnation = incarnation_,
        .clusterKey = QByteArray::fromStdString(settings_.clusterKey),
        .read = [this] {
            const ConfigSnapshot snapshot = config_.snapshot();
            return PublishedDocument { .json = snapshot.document, .revision = snapshot.revision };
        } };
}

SharedWriter::Options Node::makeSharedWriterOptions()
{
    return { .writeEach = makeClaimStore(platform_).writeEach,
        .clock = clock_,
        .random = random_,
        .isShared = [this] { return liveNodesIn(settings_.domain).size() >= static_cast<size_t>(settings_.claimSharingNodes); },
        .findAggregator = [this] { return findClaimAggregator(); },
        .send = [this](const std::string& aggregator, const ClaimBatch& batch, SharedWriter::Answer done) { peerClient_.sendRequest<ClaimBatchAnswer>(aggregator, batch, std::move(done)); } };
}

ClaimStore Node::makeSharedClaimStore()
{
    ClaimStore store = makeClaimStore(platform_);
    store.writeEach = [this](const std::vector<KvWrite>& writes, Callback<std::vector<KvWriteResult>> done) { sharedWriter_.writeEach(writes, std::move(done)); };
    return store;
}

// Returns the peer endpoint of the node that writes the claims of this failure domain; empty if it is
// this node.
std::string Node::findClaimAggregator() const
{
    std::map<std::string, std::string> endpoints { { settings_.node, "" } };
    std::vector<std::string> candidates;
    if (!context_.isStopping)
        candidates.push_back(settings_.node);
    for (const Peer& peer : peers_.peers()) {
        if (!peer.alive || peer.heartbeat.leaving || peer.heartbeat.platformDown || peer.heartbeat.domain != settings_.domain)
            continue;
        candidates.push_back(peer.node);
        endpoints[peer.node] = peer.heartbeat.peerEndpoint;
    }
    const std::vector<std::string> selected = pickByRendezvous(candidates, "claims of " + settings_.domain, 1);
    return selected.empty() ? "" : endpoints[selected.front()];
}

PeerServer::Options Node::makePeerServerOptions() const
{
    return { .address = QHostAddress(QString::fromStdString(settings_.peers.address)),
        .port = settings_.peers.port,
        .clusterKey = QByteArray::fromStdString(settings_.clusterKey),
        .maxConnections = static_cast<size_t>(settings_.maxPeerConnections) };
}

ConfigFollower::Options Node::makeFollowerOptions()
{
    constexpr size_t watchersPerDomain = 2;
    return { .fetch = { .node = settings_.node, .incarnation = incarnation_, .clusterKey = QByteArray::fromStdString(settings_.clusterKey) },
        .clock = clock_,
        .random = random_,
        .isWatcher = [this] { return peers_.isSelectedFor("configuration watcher", watchersPerDomain); },
        .sources = [this] { return findConfigSources(); } };
}

std::vector<ConfigSource> Node::findConfigSources() const
{
    std::vector<ConfigSource> sources;
    for (const Peer& peer : peers_.peers()) {
        if (peer.alive)
            sources.push_back({ .endpoint = peer.heartbeat.peerEndpoint, .revision = peer.heartbeat.configRevision, .isInSameDomain = peer.heartbeat.domain == settings_.domain });
    }
    return sources;
}

} // namespace hemlockweir
