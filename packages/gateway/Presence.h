#pragma once

#include "gateway/PlatformAdapter.h"
#include "gateway/StoreFollower.h"

// Tells the other nodes of this one, learns of them, and agrees on the one node that gives orders to
// engines. Everything stands in the platform's store under keys bound to a lease: a node that is gone
// takes its keys with it. The holder of the planner's key stops on its own once it can not be sure that
// its lease still runs.

namespace hemlockweir {

class Presence {
public:
    struct Options {
        Clock clock;
        std::string node; // unique name
        std::string address; // UDP, where other nodes reach this one
        std::string control; // TCP, the same
        std::string incarnation; // unique to this process
        Millis leaseTtl { 2400 }; // ms; how soon a dead planner is replaced
        Millis renewInterval { 700 }; // ms, well within the ttl
        Millis writeInterval { 500 }; // ms between two tries to write the same key
        Millis leaseMargin { 300 }; // ms of its lease that a planner doesn't use
        std::function<void(bool isPlanner, uint64_t term)> onRoleChanged;
    };

    struct Peer {
        std::string node;
        std::string address; // UDP
        std::string control; // TCP; empty: not known

        bool operator==(const Peer&) const = default;
    };

    // The prefix of all keys that nodes write.
    static constexpr char keyPrefix[] = "hemlockweir/";

    Presence(boost::asio::io_context& context, Options options, StoreFollower& store, const PlatformAdapter& adapter, DecisionLog& log);

    void start();

    // Gives up the planner's key and the presence, so that another node takes over at once.
    void resign();

    bool isPlanner() const;

    // Rises with each change of planner; orders carry it.
    uint64_t term() const { return term_; }

    // The other nodes, as last read.
    const std::vector<Peer>& peers() const { return peers_; }

private:
    void maintainLease();
    bool hasLease() const;
    void acquireLease();
    void renew();
    void announce();
    void applyKeys();
    void claim();
    void setRole(bool isPlanner, uint64_t term);
    void noteRenewed(Millis sentAt);

    Options options_;
    const PlatformAdapter& adapter_;
    DecisionLog& log_;
    RepeatingTimer timer_;
    StoreFollower& store_;
    std::vector<Peer> peers_;
    uint64_t lease_ = 0;
    Millis leaseEndsAt_ { 0 };
    uint64_t term_ = 0;
    Millis writtenAt_ { -3600000 }; // when a key was last written
    bool isPlanner_ = false;
    bool isResigned_ = false;
};

} // namespace hemlockweir
