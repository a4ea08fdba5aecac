#pragma once

#include "fleet/FleetTable.h"

#include <functional>

// What the scheduler is asked and what it answers.

namespace hemlockweir {

// One request that wants a slot on a replica.
struct Job {
    uint64_t id = 0;
    std::string model;
    std::string caller;
    double weight = 1.0; // of the caller in fair sharing
    uint32_t rank = 0; // of the priority class; 0 is the most urgent
    double floorShare = 0.0; // 0..1, share of the slots kept for the priority class
    Millis deadline { 0 }; // latest useful start, in the clock's time
    Millis target { 0 }; // when the first token is due, in the clock's time; 0: at the deadline
    double cost = 1.0; // expected work, in tokens
    std::vector<std::string> avoidGroups; // groups that failed this job before; not empty: a retry
    uint32_t preemptions = 0; // times that this request gave its slot back

    Millis dueAt() const { return target.count() > 0 ? std::min(target, deadline) : deadline; }
};

// Why a job was refused. Each is certain: the job did not run.
enum class Refusal {
    None,
    QueueFull,
    DeadlineUnreachable,
    NoReplica,
    RetryBudget,
    ShuttingDown,
};

// The outcome for one job: a replica, or a refusal.
struct Decision {
    Refusal refusal = Refusal::None;
    Replica replica; // meaningful without a refusal
    Millis retryAfter { 0 }; // hint for the caller of a refused job

    bool isGranted() const { return refusal == Refusal::None; }
};

// Hooks are called without any lock.
struct JobHooks {
    std::function<void(const Decision&)> onDecision; // once
    std::function<void()> onPreempt; // the slot is wanted back; finish the job and submit it again
};

} // namespace hemlockweir
