#pragma once

#include "schedule/AffinityTable.h"
#include "schedule/Decayed.h"
#include "schedule/Job.h"

#include <set>
#include <unordered_map>

// Chooses the replica for a granted job. Tracks the replicas of one model, the jobs in flight on each from this node
// and from its peers, the recent latency of each, and how many of its slots this node owns or may borrow.
// Not thread-safe: protected by the scheduler's lock.

namespace hemlockweir {

struct ReplicaChooserOptions {
    std::string domain; // this node's failure domain
    Random random;
};

// The nodes that share the slots: this one and the peers that reported recently.
struct SlotSharers {
    size_t count = 1;
    size_t position = 0; // index of this node when the nodes are sorted by name
};

// Returns how many slots of a group this node owns. Nodes that receive each other's reports agree on the result, and
// their owned slots add up to all slots of the group.
uint32_t ownSlots(const std::string& group, uint32_t slots, const SlotSharers& sharers);

// The replica chosen for a job.
struct Candidate {
    const Replica* replica = nullptr; // null: no replica has a free slot
    double scoreMs = 0; // ms, mainly the expected time from the grant to the first token; lower is better
};

class ReplicaChooser {
public:
    explicit ReplicaChooser(ReplicaChooserOptions options);

    // Replaces the list of replicas, and changes the number of jobs that peers have in flight on a group.
    void setReplicas(std::vector<Replica> replicas, const SlotSharers& sharers, Millis now);
    void addPeerUse(const std::string& group, int difference, Millis now);

    // Chooses the best replica with a free slot. With `mayQueue`, a job of the most urgent priority may also be sent to a
    // full replica, where it queues briefly in the engine, which serves it first.
    Candidate choose(const Job& job, Millis now, bool mayQueue = true);

    // Records the progress of a granted job: its grant, its first token and its end.
    void noteGranted(const Job& job, const std::string& group);
    void noteFirstToken(const std::string& group, Millis latency, Millis now);
    void noteFinished(const std::string& group, Millis holdTime, Millis generated, double tokens, Millis now);

    // Returns the slots that this node may use, the mean time in ms for which a job holds one, and an upper estimate of
    // the time to first token in ms. Times are 0 before the first measurement.
    double capacity() const { return capacity_; }
    double holdMs() const { return holdMs_.valueOr(0); }
    double firstTokenMs() const { return firstTokenMs_.upperOr(0); }
    size_t size() const { return replicas_.size(); }

private:
    struct Load {
        uint32_t ownJobs = 0; // jobs of this node
        int peerJobs = 0; // jobs of the other nodes, as last reported
        uint32_t ownedSlots = 0; // slots that this node owns
        DecayingPeak recentPeerJobs { Millis(1000) }; // peerJobs with a slow fall, so that only slots that stay unused are borrowed
        double jobLimit = 0; // most jobs of this node, including slots that it borrows from others
        Millis jobLimitAt { 0 }; // when jobLimit was last updated
        double unattributedJobs = 0; // jobs that the replica reports but no node counts as its own
        double knownJobs = 0; // ownJobs and peerJobs, smoothed over the delay of reports
        Millis reportedAt { 0 };
        MovingAverage firstTokenMs; // ms from grant to first token
        MovingAverage tokenMs; // ms per token
        Millis sampledAt { 0 }; // when an average was last updated
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
    std::vector<std::string> recentlyFreed_; // groups in which a job of this node finished recently
    AffinityTable affinities_;
    double capacity_ = 0;
    MovingAverage holdMs_;
    MovingAverage firstTokenMs_;
    MovingAverage tokenMs_;
};

} // namespace hemlockweir
