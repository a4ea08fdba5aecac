#pragma once

#include "base/Clock.h"
#include "wire/MembershipMessages.h"

#include <map>
#include <optional>
#include <set>

// One node's view of the other nodes. Pure: time is injected.
//
// A node knows every node of its own failure domain. Of each other domain it knows only the
// delegates, a few nodes that represent the domain. So the table grows with the size of the domain
// and the number of domains, not with the fleet. A node counts as alive while its heartbeat counter
// ("beat") increases, whichever peer reported it.

namespace hemlockweir {

// Last known state of one peer.
struct Peer {
    std::string node;
    uint64_t incarnation = 0;
    uint64_t id = 0; // see BeatRow
    Heartbeat heartbeat;
    Millis beatReceivedAt { 0 }; // time at which `beat` last increased
    bool alive = false;
    bool confirmed = false; // received from the peer itself; while it is alive, other nodes cannot replace its incarnation
    uint32_t beat = 0;
    uint32_t recordBeat = 0; // beat of the record that contained `heartbeat`
    int remainingSends = 0; // number of datagrams that still have to carry its record
};

// Returns the id that identifies one start of a node in BeatRow.
uint64_t makeBeatId(const std::string& node, uint64_t incarnation);

class NodeTable {
public:
    struct Options {
        std::string node;
        Millis heartbeatInterval { 200 }; // ms
        Millis aliveTimeout { 1500 }; // ms without a beat until a peer counts as unresponsive, in small tables
        Millis forgetTimeout { 3600000 }; // ms without a beat after which a peer is removed
        size_t delegates = 4; // nodes of a domain that are announced to other domains
        size_t relays = 2; // delegates that exchange messages with the other domains
    };

    explicit NodeTable(Options options);

    // Sets the state of this node, which the functions below take into account.
    void setOwn(const Heartbeat& heartbeat);

    // Applies a record. `direct`: it came from the node itself. Returns the peer if it appeared,
    // restarted, became responsive again or began to leave.
    std::optional<Peer> applyRecord(const NodeRecord& record, Millis now, bool direct);

    // Applies a beat. Returns false if the full record of that node is needed: its id is unknown,
    // or it was unresponsive and is back.
    bool applyBeat(const BeatRow& row, Millis now);

    // Marks peers without recent beats as unresponsive and returns those newly marked. Removes
    // peers past the forget timeout and appends their names to `forgotten`.
    std::vector<Peer> markUnresponsive(Millis now, std::vector<std::string>& forgotten);

    // Returns the time without a beat after which a peer counts as unresponsive. It grows with the
    // time that an update takes to spread through the table.
    Millis aliveTimeout() const;

    // All peers, with lookup by name and by id.
    std::vector<Peer> all() const;
    std::map<std::string, Peer>& peers() { return peers_; }
    size_t size() const { return peers_.size(); }
    const Peer* find(const std::string& node) const;
    const Peer* findById(uint64_t id) const;

    // Returns the names of the `count` live nodes of a domain that rank highest as relays, best
    // first. Leaving nodes come last. Takes this node into account.
    std::vector<std::string> highestRanked(const std::string& domain, size_t count) const;

    // Returns whether this node relays messages between its domain and the others.
    bool isRelay() const;
    // Returns the live peers in this node's domain.
    std::vector<Peer> near() const;
    // Returns the relays of the other domains.
    std::vector<Peer> farRelays() const;

    // Returns the beats to send to another node: those of this domain's nodes (`toNear`) or of its
    // delegates only, and those of the delegates of the other domains.
    std::vector<BeatRow> beats(bool toNear) const;

private:
    std::set<std::string> otherDomains() const;
    std::optional<Peer> replace(Peer& peer, const NodeRecord& record, Millis now, bool direct);

    Options options_;
    Heartbeat own_;
    std::map<std::string, Peer> peers_; // by name
};

} // namespace hemlockweir
