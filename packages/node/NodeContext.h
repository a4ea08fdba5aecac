#pragma once

#include "fleet/FleetTable.h"
#include "ledger/HomeClient.h"
#include "ledger/HomeLedger.h"
#include "quarantine/Quarantine.h"
#include "report/Metrics.h"
#include "rollout/ConfigTable.h"
#include "schedule/Scheduler.h"

#include <atomic>

// State shared by the worker threads.
//
// Lock order: Scheduler before FleetTable, because the scheduler finds replicas under its own lock. No
// other lock is acquired while any of the remaining locks is held. No lock is held while any other hook
// runs. The ledger runs on the control thread, so calls to it are posted there.

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
    Millis silenceTimeout { 2000 }; // ms without a token after which a stream is aborted
    std::atomic<bool> isStopping { false }; // a planned stop has begun
    std::atomic<Millis> lastArrival { Millis(0) }; // time of the last caller request
    std::atomic<uint64_t> nextJob { 1 };
};

} // namespace hemlockweir
