#pragma once

#include "schedule/FairQueue.h"
#include "schedule/PreemptionList.h"
#include "schedule/ReplicaChooser.h"

// What the scheduler knows of one model: its replicas, and by priority the jobs that wait and how
// many run. Plain state; the scheduler's lock guards it.

namespace hemlockweir {

// The jobs of one model and priority.
struct RankState {
    FairQueue queue;
    uint32_t running = 0;
    double floorShare = 0; // 0..1, share of the slots kept for the priority
    DecayedSum recentGrants { Millis(1000) }; // jobs
    MovingAverage firstTokenMs; // ms, from grant to first token
};

// The jobs and replicas of one model.
struct Pool {
    ReplicaChooser chooser;
    std::map<uint32_t, RankState> ranks = {};
    Millis refreshedAt { -1 };
    PreemptionList preemptible = {};
};

} // namespace hemlockweir
