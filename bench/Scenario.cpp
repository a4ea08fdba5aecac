#include "Scenario.h"

#include "support/Wait.h"

#include <QTimer>
#include <algorithm>

namespace hemlockweir {

// Demand of each priority, as a share of the capacity, and who sends it.
struct Demand {
    double urgent = 0.25;
    double standard = 0.20;
    double batch = 0.15;
    double batchLength = 1; // times as many tokens as the mean, at as many fewer requests

    std::vector<double> byPriority() const { return { urgent, standard, batch }; }
};

// The small callers together send this much of the capacity at each priority, the large ones the
// rest of the demand.
static constexpr double smallShare = 0.07;

const std::vector<std::string>& scenarioNames()
{
    static const std::vector<std::string> names { "steady", "batch_flood", "long_batch_flood", "urgent_flood", "member_lost" };
    return names;
}

static Demand demandOf(const std::string& scenario)
{
    if (scenario == "batch_flood")
        return { .batch = 10 };
    if (scenario == "long_batch_flood")
        return { .batch = 10, .batchLength = 10 };
    if (scenario == "urgent_flood")
        return { .urgent = 3, .batch = 0.4 };
    return {};
}

static std::vector<Source> makeSources(const Demand& demand, double capacity)
{
    const std::vector<BenchCaller>& callers = benchCallers();
    const auto large = static_cast<double>(std::count_if(callers.begin(), callers.end(), [](const BenchCaller& caller) { return caller.isLarge; }));
    const double small = static_cast<double>(callers.size()) - large;
    const std::vector<double> demands = demand.byPriority();
    std::vector<Source> sources;
    for (size_t priority = 0; priority < demands.size(); ++priority) {
        for (size_t caller = 0; caller < callers.size(); ++caller) {
            const double share = callers[caller].isLarge ? (demands[priority] - smallShare) / large : smallShare / small;
            const double length = priority + 1 == demands.size() ? demand.batchLength : 1;
            sources.push_back({ .caller = caller, .priority = priority, .requestsPerSecond = share * capacity / length, .lengthFactor = length });
        }
    }
    return sources;
}

RunResult runScenario(Deployment& deployment, const ScenarioOptions& options)
{
    const std::vector<Arrival> arrivals = makeArrivals(makeSources(demandOf(options.name), deployment.capacity()), options.duration, options.seed);
    const double cpuBefore = deployment.nodeCpuSeconds();
    const int startedBefore = deployment.countEffects("run_started");
    const int cancelledBefore = deployment.countEffects("run_cancelled");
    QTimer fault;
    fault.setSingleShot(true);
    if (options.name == "member_lost") {
        QObject::connect(&fault, &QTimer::timeout, [&] { deployment.kill("a2"); });
        fault.start(options.duration / 3);
    }
    LoadGenerator load({ .nodes = deployment.nodeAddresses(), .arrivals = arrivals });
    const std::vector<Sample> samples = load.run();
    const double cpuSeconds = deployment.nodeCpuSeconds() - cpuBefore;
    return { .rows = summarise(options.name, deployment.options().policy, samples, options.duration),
        .arrivals = static_cast<int>(arrivals.size()),
        .cpuMsPerRequest = cpuSeconds * 1000 / static_cast<double>(std::max<size_t>(samples.size(), 1)),
        .started = deployment.countEffects("run_started") - startedBefore,
        .cancelled = deployment.countEffects("run_cancelled") - cancelledBefore };
}

} // namespace hemlockweir
