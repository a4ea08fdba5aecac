#pragma once

#include "schedule/Pool.h"

// What the other nodes use, as last heard, and its effect on the pools. Not thread-safe: the
// scheduler guards it.

namespace hemlockweir {

// Tokens granted lately to one caller for one model and priority.
struct CallerTokensRow {
    std::string model;
    uint32_t rank = 0;
    std::string caller;
    double tokens = 0;

    auto operator<=>(const CallerTokensRow&) const = default;
};

// What one node uses, as nodes tell each other.
struct NodeUse {
    std::map<std::string, uint32_t> inFlightByGroup;
    std::vector<CallerTokensRow> callers;

    bool operator==(const NodeUse&) const = default;
};

using Pools = std::map<std::string, Pool>; // by model

class PeerUses {
public:
    // Takes what a peer uses now in place of what it used before.
    void set(const std::string& node, const NodeUse& use, Pools& pools, Millis now);

    void remove(const std::string& node, Pools& pools, Millis now);

    // Forgets the peers that were not heard of for two seconds.
    void removeUnresponsive(Pools& pools, Millis now);

    // Tells a new pool what the peers use.
    void applyTo(Pool& pool, Millis now) const;

    // The nodes that share the slots: this one and the peers.
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
