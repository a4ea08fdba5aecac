#include "gateway/PeerSnapshots.h"

#include "http/StatusCodes.h"
#include "wire/Codec.h"

#include <QUrl>
#include <QUrlQuery>
#include <absl/strings/str_cat.h>
#include <array>

namespace hemlockweir {

PeerSnapshots::PeerSnapshots(boost::asio::io_context& context, Options options, StoreFollower& store, ConfigurationFollower& configuration, const EndpointFollower& endpoints, const EvacuatedDomains& evacuated, DecisionLog& log)
    : context_(context)
    , options_(std::move(options))
    , store_(store)
    , configuration_(configuration)
    , endpoints_(endpoints)
    , evacuated_(evacuated)
    , log_(log)
    , pool_(context, { .clock = options_.clock, .maxIdlePerServer = 1 })
    , timer_(context, [this] { poll(); })
{
}

void PeerSnapshots::start()
{
    timer_.callAfter(options_.interval);
}

std::vector<Endpoint> PeerSnapshots::findPeers() const
{
    std::vector<Endpoint> found;
    for (const Presence::Peer& peer : peers_) {
        if (absl::StatusOr<Endpoint> endpoint = parseEndpoint(peer.control); endpoint.ok())
            found.push_back(*std::move(endpoint));
    }
    if (found.empty())
        found = options_.seeds;
    std::erase_if(found, [this](const Endpoint& endpoint) { return endpoint.toString() == options_.control; });
    return found;
}

void PeerSnapshots::poll()
{
    pool_.sweep();
    const std::vector<Endpoint> peers = findPeers();
    if (!store_.isReachable() && !peers.empty())
        requestSnapshot(peers[options_.random() % peers.size()]);
    timer_.callAfter(options_.interval);
}

void PeerSnapshots::requestSnapshot(const Endpoint& peer)
{
    std::string request = absl::StrCat("GET ", std::string(path), "?version=", configuration_.version(), "&first_era=", configuration_.age().firstEra(), "&last_era=", configuration_.age().lastEra(), "&era=", store_.revision().era(), "&revision=", store_.revision().number(), " HTTP/1.1\r\nHost: ", peer.toString(), "\r\n\r\n");
    callServer(context_, pool_, { .address = peer.address, .port = peer.port, .request = std::move(request), .timeout = options_.timeout, .maxBodyBytes = StoreSnapshot::maxBytes },
        [this, from = peer.toString()](const absl::StatusOr<CallAnswer>& answer) {
            // On failure, the next interval picks a node at random again.
            if (!answer.ok())
                log_.noteChange("snapshot_failed", { { "peer", from }, { "error", std::string(answer.status().message()) } });
            else if (answer->status == statusOk)
                apply(answer->body, from);
        });
}

void PeerSnapshots::apply(const std::string& bytes, const std::string& peer)
{
    const absl::StatusOr<StoreSnapshot> snapshot = decodeBody<StoreSnapshot>(QByteArray::fromStdString(bytes));
    if (!snapshot.ok() || snapshot->format != StoreSnapshot::currentFormat) {
        log_.noteChange("peer_unreadable", { { "peer", peer }, { "error", snapshot.ok() ? "unknown format" : std::string(snapshot.status().message()) } });
        return;
    }
    if (!snapshot->configuration.empty() && !store_.isReachable())
        configuration_.apply(snapshot->configuration, peer, snapshot->configurationFirstEra, snapshot->configurationLastEra);
    if (snapshot->listRevision == 0)
        return;
    std::vector<KvItem> entries;
    entries.reserve(snapshot->entries.size());
    for (const SnapshotEntry& entry : snapshot->entries)
        entries.push_back({ .key = entry.key, .value = entry.value, .revision = { entry.era, entry.revision } });
    const StoreRevision before = store_.revision();
    const StoreRevision listRevision(snapshot->listEra, snapshot->listRevision);
    std::vector<std::string> prefixes { options_.endpointPrefix };
    if (!options_.evacuationPrefix.empty())
        prefixes.push_back(options_.evacuationPrefix);
    if (store_.applyPeerItems(prefixes, entries, listRevision))
        log_.noteChange("endpoints_from_peer", { { "peer", peer }, { "store_revision", listRevision.toString() }, { "before", before.toString() }, { "entries", std::to_string(entries.size()) }, { "evacuated", std::to_string(evacuated_.size()) } });
}

void PeerSnapshots::answer(const std::shared_ptr<ServerConnection>& connection, const ServerRequest& request) const
{
    const QUrlQuery query(QUrl(QString::fromStdString(request.target)).query());
    const auto number = [&query](const char* name) { return query.queryItemValue(name).toULongLong(); };
    StoreSnapshot snapshot;
    if (configuration_.age().supersedes({ number("version"), number("first_era"), number("last_era") })) {
        snapshot.configuration = configuration_.text();
        snapshot.configurationFirstEra = configuration_.age().firstEra();
        snapshot.configurationLastEra = configuration_.age().lastEra();
    }
    if (store_.revision() > StoreRevision(number("era"), number("revision"))) {
        snapshot.listEra = store_.revision().era();
        snapshot.listRevision = store_.revision().number();
        for (std::vector<KvItem>& items : std::array { endpoints_.entries(), evacuated_.items() }) {
            for (KvItem& item : items)
                snapshot.entries.push_back({ .key = std::move(item.key), .value = std::move(item.value), .era = item.revision.era(), .revision = item.revision.number() });
        }
    }
    if (snapshot.configuration.empty() && snapshot.listRevision == 0)
        connection->answer(statusNoContent, {}, {});
    else
        connection->answer(statusOk, { { "Content-Type", "application/octet-stream" } }, encodeBody(snapshot).toStdString());
}

} // namespace hemlockweir
