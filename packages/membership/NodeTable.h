#pragma once

#include "base/Clock.h"
#include "wire/MembershipMessages.h"

#include <map>
#include <optional>
#include <set>

// What one node knows of the others. Pure: time is given.
//
// Of its own failure domain a node knows every node; of each other domain it knows the delegates,
// a few that stand for all. So the table grows with the domain and the number of domains, not with
// the fleet. A node is alive while its beat rises, by whatever way the news comes.

namespace hemlockweir {

// One peer, as last heard.
struct Peer {
    std::string node;
    uint64_t incarnation = 0;
    uint64_t id = 0; // as in BeatRow
    Heartbeat heartbeat;
    Millis beatReceivedAt { 0 }; // when its beat last rose
    bool alive = false;
    bool confirmed = false; // heard from itself; others' word on its start does not count
    uint32_t beat = 0;
    uint32_t recordBeat = 0; // beat at which `heartbeat` was said
    int remainingSends = 0; // datagrams that are still to carry its record
};

// Returns the id of one start of a node, as it stands in BeatRow.
uint64_t makeBeatId(const std::string& node, uint64_t incarnation);

class NodeTable {
public:
    struct Options {
        std::string node;
        Millis heartbeatInterval { 200 }; // ms
        Millis aliveTimeout { 1500 }; // ms without a new beat, for small tables
        Millis forgetTimeout { 3600000 }; // ms of silence after which a peer is forgotten
        size_t delegates = 4; // nodes of a domain that other domains hear of
        size_t relays = 2; // delegates that exchange messages with the other domains
    };

    explicit NodeTable(Options options);

    // This node's own state, which the answers below count in.
    void setOwn(const Heartbeat& heartbeat);

    // Takes a record; `direct`: from the node itself. Returns the peer if it appeared, restarted
    // or began to leave.
    std::optional<Peer> applyRecord(const NodeRecord& record, Millis now, bool direct);

    // Takes a beat; false when no record for it is known.
    bool applyBeat(const BeatRow& row, Millis now);

    // Marks the silent and returns those; forgets the long silent, whose names are added to `forgotten`.
    std::vector<Peer> markUnresponsive(Millis now, std::vector<std::string>& forgotten);

    // The silence after which a peer counts as gone: the time that news takes through the table.
    Millis aliveTimeout() const;

    // All peers.
    std::vector<Peer> all() const;
    std::map<std::string, Peer>& peers() { return peers_; }
    size_t size() const { return peers_.size(); }
    const Peer* find(const std::string& node) const;
    const Peer* findById(uint64_t id) const;

    // Living nodes of a domain that are first in line for its roles, best first; with this node.
    std::vector<std::string> highestRanked(const std::string& domain, size_t count) const;

    // Names of the living nodes that relay between this node's domain and the others.
    bool isRelay() const;
    // Living peers in this node's domain.
    std::vector<Peer> near() const;
    // Relays of the other domains.
    std::vector<Peer> farRelays() const;

    // Beats of what another node is to hear: this domain's nodes (`toNear`) or delegates, and the
    // delegates of the other domains.
    std::vector<BeatRow> beats(bool toNear) const;

private:
    std::set<std::string> otherDomains() const;
    std::optional<Peer> replace(Peer& peer, const NodeRecord& record, Millis now, bool direct);

    Options options_;
    Heartbeat own_;
    std::map<std::string, Peer> peers_; // by node
};

} // namespace hemlockweir
