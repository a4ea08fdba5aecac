#pragma once

#include "fleet/FleetTable.h"
#include "ledger/HomeClient.h"
#include "ledger/HomeLedger.h"
#include "quarantine/Quarantine.h"
#include "report/Metrics.h"
#include "rollout/ConfigTable.h"
#include "schedule/Scheduler.h"

#include <atomic>

// What the workers share. Lock order: Scheduler, then FleetTable; every other lock is a leaf and
// none is held while a hook runs. The ledger lives on the control thread: post to it.

namespace hemlockweir {

struct NodeContext {
    ConfigTable& config;
    FleetTable& fleet;
    Scheduler& scheduler;
    Metrics& metrics;
    ClaimRouter& ledger;
    HomeLedger& homeLedger;
    Quarantine& quarantine;
    Clock clock;
    Random random;
    Millis silenceTimeout { 2000 }; // ms without a token before a stream is given up
    std::atomic<bool> isStopping { false }; // a planned stop has begun
    std::atomic<Millis> lastArrival { Millis(0) }; // of a caller's request
    std::atomic<uint64_t> nextJob { 1 };
};

} // namespace hemlockweir
