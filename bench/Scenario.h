#pragma once

#include "Deployment.h"
#include "Table.h"

// The benchmark scenarios: the demand of the callers, and the faults with their times.

namespace hemlockweir {

// Demand of each priority, as a fraction of the engines' capacity.
struct Demand {
    double urgent = 0.30;
    double standard = 0.25;
    double batch = 0.25;
    double batchLength = 1; // factor on the tokens per request; divides the request rate

    std::vector<double> byPriority() const { return { urgent, standard, batch }; }
};

enum class FaultKind {
    KillEngine,
    KillFabric,
    KillNode,
    RestartKilled, // all killed processes
    PlatformDown,
    PlatformUp,
    PartitionDomain,
    HealDomains,
};

struct Fault {
    double at = 0; // 0..1, fraction of the run's duration
    FaultKind kind = FaultKind::RestartKilled;
    std::string target = {}; // engine, fabric domain, node or failure domain
};

struct Scenario {
    std::string name;
    Demand demand = {};
    std::vector<Fault> faults = {};
};

// Returns all scenarios in the order in which they run.
const std::vector<Scenario>& scenarios();

struct RunOptions {
    std::string label; // of the policy, shown in the table
    Millis duration { 8000 }; // ms during which requests arrive
    uint64_t seed = 1;
};

// Runs one scenario on a started deployment. Leaves it to the caller to call Deployment::restore().
RunResult runScenario(Deployment& deployment, const Scenario& scenario, const RunOptions& options);

} // namespace hemlockweir
