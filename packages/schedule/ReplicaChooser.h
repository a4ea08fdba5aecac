#pragma once

#include "schedule/AffinityTable.h"
#include "schedule/Decayed.h"
#include "schedule/Job.h"

#include <set>
#include <unordered_map>

// Where a granted job goes. Knows the replicas of one model, what is in flight on each from this
// node and the others, how each served lately, and which slotsPerSharer of its slots is this node's ownJobs.
// Not thread-safe: the scheduler guards it.

namespace hemlockweir {

struct ReplicaChooserOptions {
    std::string domain; // this node's failure domain
    Random random;
};

// The nodes that ownedSlots the slots: those heard from lately, this one among them.
struct SlotSharers {
    size_t count = 1;
    size_t position = 0; // this node's place in the order of names
};

// Slots of a group that are this node's ownJobs. All nodes that hear each other agree, and together
// the shares are exactly the slots.
uint32_t ownSlots(const std::string& group, uint32_t slots, const SlotSharers& sharers);

// What a replica has to offer to a job.
struct Candidate {
    const Replica* replica = nullptr; // null: none
    double firstTokenMs = 0; // ms, expected from the grant
};

class ReplicaChooser {
public:
    explicit ReplicaChooser(ReplicaChooserOptions options);

    // Inputs.
    void setReplicas(std::vector<Replica> replicas, const SlotSharers& sharers, Millis now);
    void addPeerUse(const std::string& group, int difference, Millis now);

    // Chooses among replicas with a slot to give. With `mayQueue` the most urgent job may queue
    // briefly in the engine, which serves it first.
    Candidate choose(const Job& job, Millis now, bool mayQueue = true);

    // What becomes of a granted job.
    void noteGranted(const Job& job, const std::string& group);
    void noteFirstToken(const std::string& group, Millis latency, Millis now);
    void noteFinished(const std::string& group, Millis holdTime, Millis generated, double tokens, Millis now);

    // Slots that this node may fill, and how long one is holdTime.
    double capacity() const { return capacity_; }
    double holdMs() const { return holdMs_.valueOr(0); }
    double firstTokenMs() const { return firstTokenMs_.upperOr(0); }
    size_t size() const { return replicas_.size(); }

private:
    struct Load {
        uint32_t ownJobs = 0; // jobs of this node
        int peerJobs = 0; // jobs of the other nodes, as last heard
        uint32_t ownedSlots = 0; // slots that are this node's ownJobs
        DecayingPeak recentPeerJobs { Millis(1000) }; // the same, not falling at once: slots are lent that stay unused
        double jobLimit = 0; // jobs of this node, slots that others seem not to use among them
        Millis jobLimitAt { 0 };
        double unattributedJobs = 0; // reported jobs that no node counts as its ownJobs
        double knownJobs = 0; // ownJobs and peerJobs, smoothed over the lag of reports
        Millis reportedAt { 0 };
        MovingAverage firstTokenMs; // ms
        MovingAverage tokenMs; // ms
        Millis sampledAt { 0 };
    };

    void updateUnattributedJobs(const Replica& replica, Load& load);
    void updateJobLimit(const Replica& replica, Load& load, size_t sharers, Millis now);
    void updateCapacity(Millis now);
    std::vector<size_t> sampleReplicas(const std::optional<Affinity>& affinity);
    bool hasSlot(const Job& job, const Replica& replica, const Load& load, Millis now, bool mayQueue) const;
    double scoreOf(const Job& job, const Replica& replica, const Load& load, Millis now) const;

    ReplicaChooserOptions options_;
    std::vector<Replica> replicas_;
    std::vector<size_t> local_; // indices of the replicas in this node's domain
    std::unordered_map<std::string, size_t> indexOf_; // by group
    std::unordered_map<std::string, Load> loads_; // by group
    std::vector<std::string> recentlyFreed_; // groups that lately got a free slot
    AffinityTable affinities_;
    double capacity_ = 0;
    MovingAverage holdMs_;
    MovingAverage firstTokenMs_;
    MovingAverage tokenMs_;
};

} // namespace hemlockweir
