#pragma once

#include "schedule/FairQueue.h"
#include "schedule/PreemptionList.h"
#include "schedule/ReplicaChooser.h"

// The scheduler's state for one model: its replicas, and for each priority the waiting jobs and the number of running
// ones. Protected by the scheduler's lock.

namespace hemlockweir {

// The jobs of one model and priority.
struct RankState {
    FairQueue queue;
    uint32_t running = 0;
    double floorShare = 0; // 0..1, fraction of the slots reserved for the priority
    DecayedSum recentGrants { Millis(1000) }; // jobs granted recently
    MovingAverage firstTokenMs; // ms, from grant to first token
};

// The jobs and replicas of one model.
struct Pool {
    ReplicaChooser chooser;
    std::map<uint32_t, RankState> ranks = {};
    Millis refreshedAt { -1 }; // when the replicas were last read; -1: never
    PreemptionList preemptible = {};
};

} // namespace hemlockweir
