#pragma once

#include "fleet/FleetTable.h"

#include <functional>
#include <list>

// Decides which waiting request runs next and on which replica. Thread-safe. Lock order: the
// scheduler's lock, then the fleet table's. Hooks are called without the lock.
//
//   scheduler.submit(job, { .onDecision = [](const Decision& decision) { ... } });
//   ...
//   scheduler.finish(job.id);

namespace hemlockweir {

// How replicas are chosen and jobs admitted.
enum class SchedulePolicy {
    Full, // everything below
    RoundRobin, // baseline: each job goes at once to the next replica
    LeastInFlight, // baseline: each job goes at once to the replica with the fewest of this node's jobs
};

// Returns the policy of a settings file's name; Full for an unknown one.
SchedulePolicy parseSchedulePolicy(const std::string& name);

struct SchedulerOptions {
    SchedulePolicy policy = SchedulePolicy::Full;
    size_t maxWaiting = 2000; // jobs, all models and priorities together
    std::string domain; // this node's failure domain, preferred in ties
    Clock clock;
    Random random;
    std::function<std::vector<Replica>(const std::string& model)> findReplicas;
};

// One request that wants a slot on a replica.
struct Job {
    uint64_t id = 0;
    std::string model;
    std::string caller;
    double weight = 1.0; // of the caller in fair sharing
    uint32_t rank = 0; // of the priority class; 0 is the most urgent
    Millis deadline { 0 }; // latest useful start, in the clock's time
    double cost = 1.0; // expected work, in tokens
    std::vector<std::string> avoidGroups; // groups that failed this job before
};

// Why a job was refused. Each is certain: the job did not run.
enum class Refusal {
    None,
    QueueFull,
    DeadlineUnreachable,
    NoReplica,
    ShuttingDown,
};

// The outcome for one job: a replica, or a refusal.
struct Decision {
    Refusal refusal = Refusal::None;
    Replica replica; // meaningful without a refusal
    Millis retryAfter { 0 }; // hint for the caller of a refused job

    bool isGranted() const { return refusal == Refusal::None; }
};

struct JobHooks {
    std::function<void(const Decision&)> onDecision; // once
    std::function<void()> onPreempt; // the slot is wanted back; finish the job and submit it again
};

class Scheduler {
public:
    explicit Scheduler(SchedulerOptions options);

    // Queues a job; onDecision may be called before this returns.
    void submit(const Job& job, JobHooks hooks);

    // Withdraws a job that has no decision yet; its hooks are not called.
    void cancel(uint64_t jobId);

    // Frees the slot of a granted job.
    void finish(uint64_t jobId);

    // Grants and refuses what time and new reports allow. Call at least every 10 ms.
    void pump();

    // Takes what a peer has in flight on a group, and forgets a peer.
    void setPeerUse(const std::string& node, const std::map<std::string, uint32_t>& inFlightByGroup);
    void dropPeer(const std::string& node);

    // This node's requests in flight by group, and its jobs waiting.
    std::map<std::string, uint32_t> inFlightByGroup() const;
    size_t waitingCount() const;

private:
    struct Waiting {
        Job job;
        JobHooks hooks;
        double tag = 0; // virtual finish time in fair queueing
    };
    struct Running {
        Job job;
        JobHooks hooks;
        std::string group;
    };
    struct Verdict {
        std::function<void(const Decision&)> hook;
        Decision decision;
    };

    std::vector<Verdict> decide();
    std::optional<Replica> chooseReplica(const Job& job) const;
    std::optional<Replica> chooseBaseline(const Job& job, const std::vector<Replica>& replicas) const;
    double loadOf(const Replica& replica) const;
    double nextTag(const Job& job);

    SchedulerOptions options_;
    mutable std::mutex mutex_;
    std::list<Waiting> waiting_;
    std::map<uint64_t, Running> running_; // by job
    std::map<std::string, uint32_t> inFlight_; // by group
    std::map<std::string, std::map<std::string, uint32_t>> peerUse_; // by node, by group
    std::map<std::string, double> tagByCaller_;
    double virtualTime_ = 0;
    mutable size_t nextTurn_ = 0; // of RoundRobin
};

} // namespace hemlockweir
