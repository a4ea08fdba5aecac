#pragma once

#include "schedule/Job.h"
#include "schedule/PeerUses.h"
#include "schedule/RetryBudget.h"
#include "schedule/SlotShares.h"

#include <mutex>

// Decides which waiting request runs next and on which replica, and which is refused. Thread-safe.
// Lock order: the scheduler's lock, then the fleet table's. Hooks are called without the lock.
//
//   scheduler.submit(job, { .onDecision = [](const Decision& decision) { ... } });
//   ...
//   scheduler.noteFirstToken(job.id);
//   scheduler.finish(job.id);
//
// Nodes have no coordinator. Each owns its part of every group's slots, and may also use slots
// that nobody was heard to use; what the others have in flight arrives by setPeerUse(). A node
// that hears nobody takes every slot for its own.

namespace hemlockweir {

// How replicas are chosen and jobs admitted.
enum class SchedulePolicy {
    Full, // everything below
    NoAdmission, // to compare with: the same, but what would be late is not refused before its deadline
    RoundRobin, // baseline: each job goes at once to the next replica
    LeastInFlight, // baseline: each job goes at once to the replica with the fewest of this node's jobs
};

// Returns the policy of a settings file's name; Full for an unknown one.
SchedulePolicy parseSchedulePolicy(const std::string& name);

struct SchedulerOptions {
    SchedulePolicy policy = SchedulePolicy::Full;
    size_t maxWaiting = 2000; // jobs, all models and priorities together
    std::string node; // this node's name
    std::string domain; // this node's failure domain, preferred in ties
    Clock clock;
    Random random;
    std::function<std::vector<Replica>(const std::string& model)> findReplicas;
    std::function<void()> onWaiting; // a job was left waiting, so pump() is needed soon; any thread
};

// Jobs of one priority, for metrics.
struct RankLoad {
    uint32_t rank = 0;
    size_t waiting = 0;
    size_t running = 0;

    auto operator<=>(const RankLoad&) const = default;
};

class Scheduler {
public:
    explicit Scheduler(SchedulerOptions options);

    // Queues a job, or refuses it at once when it can not start in time; onDecision may be called
    // before this returns.
    void submit(const Job& job, JobHooks hooks);

    // Withdraws a job that has no decision yet; its hooks are not called.
    void cancel(uint64_t jobId);

    // Says that a granted job has its first token.
    void noteFirstToken(uint64_t jobId);

    // Frees the slot of a granted job.
    void finish(uint64_t jobId);

    // Grants and refuses what time and new reports allow. Call at least every 10 ms while jobs
    // wait, and every 100 ms otherwise.
    void pump();

    // Takes what a peer uses, and forgets a peer. One that is not heard of for two seconds is
    // forgotten as well.
    void setPeerUse(const std::string& node, const NodeUse& use);
    void dropPeer(const std::string& node);

    // This node's own use, and its jobs.
    NodeUse use() const;
    size_t waitingCount() const;
    std::vector<RankLoad> loads() const;

    // Slot-seconds of this node that nothing ran on since the start, by cause.
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
        Millis preemptedAt { 0 }; // 0: not victim to yield
    };
    struct DecisionCall {
        std::function<void(const Decision&)> hook;
        Decision decision;
    };
    // What is to be called once the lock is free.
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
    std::multimap<Millis, uint64_t> expiries_; // jobs by deadline; may hold jobs that are gone
    std::map<uint64_t, Running> running_; // by job
    std::map<std::string, uint32_t> inFlight_; // by group
    PeerUses peers_;
    IdleSlots idleSeconds_;
    Millis pumpedAt_ { 0 }; // 0: never
    RetryBudget retries_;
    size_t nextRoundRobinIndex_ = 0; // of RoundRobin
};

} // namespace hemlockweir
