#pragma once

#include "schedule/Job.h"
#include "schedule/PeerUses.h"
#include "schedule/RetryBudget.h"
#include "schedule/SlotShares.h"

#include <mutex>

// Decides which waiting request runs next and on which replica, and which requests are refused. Thread-safe.
// Lock order: the scheduler's lock before the fleet table's. Hooks are called without the lock.
//
//   scheduler.submit(job, { .onDecision = [](const Decision& decision) { ... } });
//   ...
//   scheduler.noteFirstToken(job.id);
//   scheduler.finish(job.id);
//
// Nodes have no coordinator. Each node owns a fraction of every group's slots, and may borrow slots that no other node
// reports to use. The jobs in flight at other nodes arrive through setPeerUse(). A node without peers owns every slot.

namespace hemlockweir {

// How replicas are chosen and jobs admitted.
enum class SchedulePolicy {
    Full, // fair queues, admission and replica choice by load
    NoAdmission, // for comparison: like Full, but late jobs are not refused before their deadline
    RoundRobin, // baseline: sends each job immediately to the next replica
    LeastInFlight, // baseline: sends each job immediately to the replica with the fewest of this node's jobs
};

// Returns the policy with this name in the settings file; Full if the name is unknown.
SchedulePolicy parseSchedulePolicy(const std::string& name);

struct SchedulerOptions {
    SchedulePolicy policy = SchedulePolicy::Full;
    size_t maxWaiting = 2000; // limit of waiting jobs, over all models and priorities
    std::string node; // this node's name
    std::string domain; // this node's failure domain, preferred among equally good replicas
    Clock clock;
    Random random;
    std::function<std::vector<Replica>(const std::string& model)> findReplicas;
    std::function<void()> onWaiting; // a submitted job has to wait, so pump() must be called soon; called on any thread
};

// Job counts of one priority, for metrics.
struct RankLoad {
    uint32_t rank = 0;
    size_t waiting = 0;
    size_t running = 0;

    auto operator<=>(const RankLoad&) const = default;
};

class Scheduler {
public:
    explicit Scheduler(SchedulerOptions options);

    // Queues a job, or refuses it immediately if it can not start in time. May call onDecision before it returns.
    void submit(const Job& job, JobHooks hooks);

    // Removes a job that has no decision yet, without calling its hooks.
    void cancel(uint64_t jobId);

    // Records that a granted job produced its first token.
    void noteFirstToken(uint64_t jobId);

    // Frees the slot of a granted job that finished, failed or was preempted.
    void finish(uint64_t jobId);

    // Grants and refuses jobs according to the current time and the latest reports. Must be called at least every 10 ms
    // while jobs wait, and every 100 ms otherwise.
    void pump();

    // Replaces the reported use of a peer, or removes a peer. A peer that sends no report for two seconds is removed
    // automatically.
    void setPeerUse(const std::string& node, const NodeUse& use);
    void dropPeer(const std::string& node);

    // Returns this node's own use, to be sent to its peers, and the counts of its jobs.
    NodeUse use() const;
    size_t waitingCount() const;
    std::vector<RankLoad> loads() const;

    // Returns the idle slot-seconds of this node since the start, by cause.
    IdleSlots idleSlotSeconds() const;

private:
    struct Waiting {
        Job job;
        JobHooks hooks;
    };
    struct Running {
        Job job;
        JobHooks hooks;
        std::string group;
        Millis grantedAt { 0 };
        Millis firstTokenAt { 0 }; // 0: none yet
        Millis preemptedAt { 0 }; // when onPreempt was called; 0: not preempted
    };
    struct DecisionCall {
        std::function<void(const Decision&)> hook;
        Decision decision;
    };
    // Hooks to call after the lock is released.
    struct DeferredCalls {
        std::vector<DecisionCall> decisions;
        std::vector<std::function<void()>> preempted;

        void run() const;
    };

    Pool& poolOf(const std::string& model);
    void refreshReplicas(const std::string& model, Pool& pool, Millis now);

    // Admission.
    std::optional<Refusal> findRefusal(const Job& job, Pool& pool, Millis now);
    void enqueue(const Job& job, Pool& pool, Millis now);
    bool isQueueFull(const Job& job, const Pool& pool) const;
    static Decision makeRefusal(Refusal refusal, const Job& job, const Pool& pool, Millis now);

    void recordIdleSlots(const Pool& pool, Millis now);

    // Grants.
    void refuseExpired(Millis now, DeferredCalls& calls);
    void grantAll(const std::string& model, Pool& pool, Millis now, DeferredCalls& calls);
    bool grantNext(Pool& pool, Millis now, DeferredCalls& calls);
    bool grantFrom(Pool& pool, uint32_t rank, Millis now, DeferredCalls& calls);
    void grantBaseline(const std::string& model, Pool& pool, Millis now, DeferredCalls& calls);
    void grant(Pool& pool, uint64_t jobId, const Replica& replica, Millis now, DeferredCalls& calls);
    void preempt(Pool& pool, Millis now, DeferredCalls& calls);
    void refuse(uint64_t jobId, Refusal refusal, Millis now, DeferredCalls& calls);
    Waiting removeWaiting(uint64_t jobId);
    bool refuseIfTooLate(const Pool& pool, const Job& job, Millis now, DeferredCalls& calls);

    SchedulerOptions options_;
    mutable std::mutex mutex_;
    Pools pools_;
    std::map<uint64_t, Waiting> waiting_; // by job
    std::multimap<Millis, uint64_t> expiries_; // jobs by deadline; may contain jobs that no longer wait
    std::map<uint64_t, Running> running_; // by job
    std::map<std::string, uint32_t> inFlight_; // jobs of this node, by group
    PeerUses peers_;
    IdleSlots idleSeconds_;
    Millis pumpedAt_ { 0 }; // 0: never
    RetryBudget retryBudget_;
    size_t nextRoundRobinIndex_ = 0; // used by SchedulePolicy::RoundRobin
};

} // namespace hemlockweir
