#pragma once

#include "gateway/PlatformAdapter.h"
#include "gateway/StoreFollower.h"

// Registers this node in the platform's store, lists the other nodes, and elects the planner: the one node that
// sends orders to engines. All keys are bound to the node's lease, so that they disappear when the node fails. The
// planner steps down by itself as soon as its lease may have expired.
//
// A restore of the store from a copy loses leases and gives their numbers out again. When this node learns of one, it drops its
// lease without ending it, steps down, and registers anew. Nodes do this spread over time. The last planner does it at once and
// may claim the role again; others wait until the lease of a planner that doesn't know of the restore has ended.

namespace hemlockweir {

class Presence {
public:
    struct Options {
        Clock clock;
        std::string node; // unique name
        std::string address; // UDP, address of this node for other nodes
        std::string control; // TCP, control address of this node for other nodes
        std::string incarnation; // unique to this process
        Millis leaseTtl { 2400 }; // ms; a failed planner is replaced after this time
        Millis renewInterval { 700 }; // ms, well below the TTL
        Millis writeInterval { 500 }; // ms, minimum between two writes of keys
        Millis eraSpread { 1500 }; // ms over which the nodes register again after a restore of the store
        Millis peerRetention { 4000 }; // ms after a restore for which nodes that have not registered again are retained
        Millis leaseMargin { 300 }; // ms before the end of its lease at which the planner steps down
        std::function<void(bool isPlanner, uint64_t term)> onRoleChanged; // this node became or ceased to be the planner
    };

    struct Peer {
        std::string node;
        std::string address; // UDP
        std::string control; // TCP; empty: unknown

        bool operator==(const Peer&) const = default;
    };

    // Prefix of all keys that nodes write.
    static constexpr char keyPrefix[] = "hemlockweir/";

    Presence(boost::asio::io_context& context, Options options, StoreFollower& store, const PlatformAdapter& adapter, DecisionLog& log);

    void start();

    // Ends the lease, which removes the node's keys, so that another node becomes planner immediately.
    void resign();

    // Returns whether this node is the planner and its lease is certainly valid.
    bool isPlanner() const;

    // Returns the planner's term, which increases with each change of planner (replicas/PlannerTerm.h). Orders carry it as fencing
    // token.
    uint64_t term() const { return term_; }

    // Returns whether the nodes in the last answer of the store included this one.
    bool isListed() const { return lease_ != 0 && isListed_; }

    // Returns the other nodes, as of the last answer of the store.
    const std::vector<Peer>& peers() const { return peers_; }

private:
    void maintainLease();
    bool hasLease() const;
    void acquireLease();
    void renew();
    void announce();
    void applyKeys();
    void updatePeers();
    void updateTerm(const KvItem& planner);
    void claim(const KvItem* planner);
    bool mayClaim() const;
    void handleNewEra();
    void setRole(bool isPlanner, uint64_t term);
    void extendLease(Millis sentAt, Millis ttl);

    Options options_;
    const PlatformAdapter& adapter_;
    DecisionLog& log_;
    RepeatingTimer timer_;
    StoreFollower& store_;
    std::vector<Peer> peers_;
    uint64_t lease_ = 0;
    Millis grantedTtl_ { 0 }; // as the store granted it
    Millis leaseEndsAt_ { 0 };
    uint64_t term_ = 0; // of the present role
    uint64_t plannerTerm_ = 0; // of the newest planner's key that was seen
    StoreRevision plannerRevision_; // of that key
    uint64_t restores_ = 0; // of the store, that this node learned of
    Millis claimsFrom_ { 0 }; // time before which another node may still believe that it is the planner
    bool isClaimDelayed_ = false; // the end of that time was not noticed yet
    std::vector<Peer> earlierPeers_; // known when the store was restored
    Millis earlierPeersUntil_ { 0 };
    Millis writtenAt_ { -3600000 }; // last write of a key
    bool isPlanner_ = false;
    bool isListed_ = false;
    bool isResigned_ = false;
};

} // namespace hemlockweir
