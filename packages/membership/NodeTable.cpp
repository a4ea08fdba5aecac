#include "membership/NodeTable.h"

#include "base/Rendezvous.h"

#include <algorithm>
#include <bit>

namespace hemlockweir {

// Number of times that a changed record is sent beyond what is needed to spread it.
static constexpr int extraSends = 3;

static int log2Of(size_t count)
{
    return static_cast<int>(std::bit_width(count));
}

uint64_t makeBeatId(const std::string& node, uint64_t incarnation)
{
    return stableHash(node + "/" + std::to_string(incarnation));
}

NodeTable::NodeTable(Options options)
    : options_(std::move(options))
{
}

void NodeTable::setOwn(const Heartbeat& heartbeat)
{
    own_ = heartbeat;
}

std::optional<Peer> NodeTable::applyRecord(const NodeRecord& record, Millis now, bool direct)
{
    if (record.node == options_.node)
        return std::nullopt;
    const auto [it, isNew] = peers_.try_emplace(record.node);
    Peer& peer = it->second;
    if (isNew)
        return replace(peer, record, now, direct);
    if (peer.incarnation != record.incarnation) {
        const bool isTrusted = direct || !peer.alive || (!peer.confirmed && record.incarnation > peer.incarnation);
        return isTrusted ? replace(peer, record, now, direct) : std::nullopt;
    }
    peer.confirmed = peer.confirmed || direct;
    bool hasChanged = false;
    if (record.beat > peer.recordBeat) {
        hasChanged = peer.heartbeat.leaving != record.heartbeat.leaving;
        if (peer.heartbeat != record.heartbeat)
            peer.remainingSends = log2Of(peers_.size()) + extraSends;
        peer.heartbeat = record.heartbeat;
        peer.recordBeat = record.beat;
    }
    if (record.beat > peer.beat) {
        peer.beat = record.beat;
        peer.beatReceivedAt = now;
        hasChanged = hasChanged || !peer.alive;
        peer.alive = true;
    }
    return hasChanged ? std::optional<Peer>(peer) : std::nullopt;
}

std::optional<Peer> NodeTable::replace(Peer& peer, const NodeRecord& record, Millis now, bool direct)
{
    peer = { .node = record.node,
        .incarnation = record.incarnation,
        .id = makeBeatId(record.node, record.incarnation),
        .heartbeat = record.heartbeat,
        .beatReceivedAt = now,
        .alive = true,
        .confirmed = direct,
        .beat = record.beat,
        .recordBeat = record.beat,
        .remainingSends = log2Of(peers_.size()) + extraSends };
    return peer;
}

bool NodeTable::applyBeat(const BeatRow& row, Millis now)
{
    for (auto& [name, peer] : peers_) {
        if (peer.id != row.id)
            continue;
        // An unresponsive peer returns only by its record, so that its return is reported as a
        // change.
        if (row.beat > peer.beat && peer.alive) {
            peer.beat = row.beat;
            peer.beatReceivedAt = now;
        }
        return peer.alive || row.beat <= peer.beat;
    }
    return false;
}

Millis NodeTable::aliveTimeout() const
{
    constexpr size_t smallTable = 8;
    constexpr int ticksPerDoubling = 4;
    if (peers_.size() <= smallTable)
        return options_.aliveTimeout;
    return std::max(options_.aliveTimeout, options_.heartbeatInterval * ticksPerDoubling * (log2Of(peers_.size()) + 1));
}

std::vector<Peer> NodeTable::markUnresponsive(Millis now, std::vector<std::string>& forgotten)
{
    const Millis timeout = aliveTimeout();
    std::vector<Peer> unresponsive;
    for (auto it = peers_.begin(); it != peers_.end();) {
        Peer& peer = it->second;
        if (peer.alive && now - peer.beatReceivedAt > timeout) {
            peer.alive = false;
            unresponsive.push_back(peer);
        }
        if (now - peer.beatReceivedAt > options_.forgetTimeout) {
            forgotten.push_back(it->first);
            it = peers_.erase(it);
        } else {
            ++it;
        }
    }
    return unresponsive;
}

std::vector<Peer> NodeTable::all() const
{
    std::vector<Peer> found;
    found.reserve(peers_.size());
    for (const auto& [name, peer] : peers_)
        found.push_back(peer);
    return found;
}

const Peer* NodeTable::find(const std::string& node) const
{
    const auto found = peers_.find(node);
    return found == peers_.end() ? nullptr : &found->second;
}

const Peer* NodeTable::findById(uint64_t id) const
{
    for (const auto& [name, peer] : peers_) {
        if (peer.id == id)
            return &peer;
    }
    return nullptr;
}

std::vector<std::string> NodeTable::highestRanked(const std::string& domain, size_t count) const
{
    std::vector<std::string> staying;
    std::vector<std::string> leaving;
    if (domain == own_.domain)
        (own_.leaving ? leaving : staying).push_back(options_.node);
    for (const auto& [name, peer] : peers_) {
        if (peer.alive && peer.heartbeat.domain == domain)
            (peer.heartbeat.leaving ? leaving : staying).push_back(name);
    }
    return pickPreferred(staying, leaving, "relay", count);
}

std::set<std::string> NodeTable::otherDomains() const
{
    std::set<std::string> domains;
    for (const auto& [name, peer] : peers_) {
        if (peer.alive && peer.heartbeat.domain != own_.domain)
            domains.insert(peer.heartbeat.domain);
    }
    return domains;
}

bool NodeTable::isRelay() const
{
    const std::vector<std::string> relays = highestRanked(own_.domain, options_.relays);
    return std::find(relays.begin(), relays.end(), options_.node) != relays.end();
}

std::vector<Peer> NodeTable::near() const
{
    std::vector<Peer> found;
    for (const auto& [name, peer] : peers_) {
        if (peer.alive && peer.heartbeat.domain == own_.domain)
            found.push_back(peer);
    }
    return found;
}

std::vector<Peer> NodeTable::farRelays() const
{
    std::vector<Peer> found;
    for (const std::string& domain : otherDomains()) {
        for (const std::string& name : highestRanked(domain, options_.relays))
            found.push_back(peers_.at(name));
    }
    return found;
}

std::vector<BeatRow> NodeTable::beats(bool toNear) const
{
    std::vector<std::string> names;
    if (toNear) {
        for (const Peer& peer : near())
            names.push_back(peer.node);
    } else {
        names = highestRanked(own_.domain, options_.delegates);
    }
    for (const std::string& domain : otherDomains()) {
        for (const std::string& name : highestRanked(domain, options_.delegates))
            names.push_back(name);
    }
    std::vector<BeatRow> rows;
    for (const std::string& name : names) {
        const Peer* peer = find(name);
        if (peer)
            rows.push_back({ .id = peer->id, .beat = peer->beat });
    }
    return rows;
}

} // namespace hemlockweir
