#pragma once

#include "Deployment.h"
#include "Table.h"

// The scenarios of the bench as data: who asks for how much, and what fails when.

namespace hemlockweir {

// Demand of each priority, as a share of what the engines can do.
struct Demand {
    double urgent = 0.30;
    double standard = 0.25;
    double batch = 0.25;
    double batchLength = 1; // times as many tokens as the mean, at as many fewer requests

    std::vector<double> byPriority() const { return { urgent, standard, batch }; }
};

enum class FaultKind {
    KillEngine,
    KillFabric,
    KillNode,
    RestartKilled, // whatever was killed
    PlatformDown,
    PlatformUp,
    PartitionDomain,
    HealDomains,
};

struct Fault {
    double at = 0; // 0..1, share of the run's duration
    FaultKind kind = FaultKind::RestartKilled;
    std::string target = {}; // engine, fabric domain, node or failure domain
};

struct Scenario {
    std::string name;
    Demand demand = {};
    std::vector<Fault> faults = {};
};

// All scenarios, in the order in which they run.
const std::vector<Scenario>& scenarios();

struct RunOptions {
    std::string label; // of the policy, for the table
    Millis duration { 8000 }; // ms of arrivals
    uint64_t seed = 1;
};

// Runs one scenario on a deployment that stands. The caller restores the deployment.
RunResult runScenario(Deployment& deployment, const Scenario& scenario, const RunOptions& options);

} // namespace hemlockweir
