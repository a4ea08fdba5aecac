#pragma once

#include "Deployment.h"
#include "Table.h"

// The scenarios of the bench. Demands are given as shares of what the engines can do.

namespace hemlockweir {

struct ScenarioOptions {
    std::string name; // see scenarioNames()
    Millis duration { 12000 }; // ms of arrivals
    uint64_t seed = 1;
};

// steady, batch_flood, long_batch_flood, urgent_flood, member_lost.
const std::vector<std::string>& scenarioNames();

// Runs one scenario on a deployment that stands.
RunResult runScenario(Deployment& deployment, const ScenarioOptions& options);

} // namespace hemlockweir
