#pragma once

#include "fleet/FleetTable.h"

#include <functional>

// Input and output of the scheduler: a job, and the decision about it.

namespace hemlockweir {

// One request for a slot on a replica.
struct Job {
    uint64_t id = 0;
    std::string model;
    std::string caller;
    double weight = 1.0; // of the caller in fair sharing
    uint32_t rank = 0; // of the priority class; 0 is the most urgent
    double floorShare = 0.0; // 0..1, fraction of the slots reserved for the priority class
    Millis deadline { 0 }; // latest start that is still useful, in the clock's time
    Millis target { 0 }; // when the first token is due, in the clock's time; 0: at the deadline
    double cost = 1.0; // expected work, in tokens
    std::vector<std::string> avoidGroups; // groups on which this job failed; not empty: a retry
    std::vector<uint64_t> prefix; // hashes of the prompt's leading blocks, see hashPrefix()
    uint32_t preemptions = 0; // times that this request was preempted

    // Returns when the first token is due.
    Millis dueAt() const { return target.count() > 0 ? std::min(target, deadline) : deadline; }
};

// Why a job was refused. A refused job did not run.
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
    Replica replica; // set if the job was granted
    Millis retryAfter { 0 }; // for a refused job: when the caller may try again

    bool isGranted() const { return refusal == Refusal::None; }
};

// Callbacks for one job, called without holding any lock.
struct JobHooks {
    std::function<void(const Decision&)> onDecision; // called exactly once, unless the job is cancelled
    std::function<void()> onPreempt; // the slot is needed for urgent work; finish the job and submit it again
};

} // namespace hemlockweir
