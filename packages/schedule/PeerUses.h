#pragma once

#include "schedule/Pool.h"

// Tracks the use that the other nodes last reported, and applies it to the pools. Not thread-safe: protected by the
// scheduler's lock.

namespace hemlockweir {

// Tokens recently granted to one caller for one model and priority.
struct CallerTokensRow {
    std::string model;
    uint32_t rank = 0;
    std::string caller;
    double tokens = 0;

    auto operator<=>(const CallerTokensRow&) const = default;
};

// The slots and tokens that one node uses, as nodes report them to each other.
struct NodeUse {
    std::map<std::string, uint32_t> inFlightByGroup; // jobs
    std::vector<CallerTokensRow> callers;

    bool operator==(const NodeUse&) const = default;
};

using Pools = std::map<std::string, Pool>; // by model

class PeerUses {
public:
    // Replaces the reported use of a peer.
    void set(const std::string& node, const NodeUse& use, Pools& pools, Millis now);

    void remove(const std::string& node, Pools& pools, Millis now);

    // Removes the peers that have not reported for two seconds. Checks at most every 200 ms.
    void removeUnresponsive(Pools& pools, Millis now);

    // Adds the jobs that the peers have in flight to a new pool.
    void applyTo(Pool& pool, Millis now) const;

    // Returns the number of nodes that share the slots, this one and the peers, and this node's position among them.
    SlotSharers sharers(const std::string& ownNode) const;

private:
    struct Peer {
        NodeUse use;
        Millis receivedAt { 0 };
    };

    static void replace(const std::string& node, const NodeUse& before, const NodeUse& after, Pools& pools, Millis now);

    std::map<std::string, Peer> peers_; // by node
    Millis checkedAt_ { 0 };
};

} // namespace hemlockweir
