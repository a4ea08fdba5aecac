#include "Scenario.h"

#include "support/Wait.h"

#include <QTimer>
#include <algorithm>
#include <cstdlib>

namespace hemlockweir {

// Demand of all small callers together at each priority, as a fraction of the capacity. The large
// callers send the rest of the demand. Each small caller sends about twenty requests in a run of 8 s.
static constexpr double smallCallersFraction = 0.16;

static constexpr double ordersPerSecond = 8;

const std::vector<Scenario>& scenarios()
{
    static const std::vector<Scenario> all {
        { .name = "steady" },
        { .name = "batch_flood", .demand = { .batch = 6 } },
        { .name = "long_batch_flood", .demand = { .batch = 6, .batchLength = 10 } },
        { .name = "urgent_flood", .demand = { .urgent = 3, .batch = 0.4 } },
        { .name = "member_lost", .faults = { { .at = 0.25, .kind = FaultKind::KillEngine, .target = "a1-2" }, { .at = 0.75, .kind = FaultKind::RestartKilled } } },
        { .name = "fabric_dark", .faults = { { .at = 0.25, .kind = FaultKind::KillFabric, .target = "b1" }, { .at = 0.75, .kind = FaultKind::RestartKilled } } },
        { .name = "node_lost", .faults = { { .at = 0.25, .kind = FaultKind::KillNode, .target = "n4" }, { .at = 0.75, .kind = FaultKind::RestartKilled } } },
        { .name = "platform_down", .faults = { { .at = 0.25, .kind = FaultKind::PlatformDown }, { .at = 0.75, .kind = FaultKind::PlatformUp } } },
        { .name = "domain_cut", .faults = { { .at = 0.25, .kind = FaultKind::PartitionDomain, .target = "c" }, { .at = 0.75, .kind = FaultKind::HealDomains } } },
    };
    return all;
}

static std::vector<TrafficSource> makeSources(const Demand& demand, double capacity)
{
    const std::vector<BenchCaller>& callers = benchCallers();
    const auto largeCount = static_cast<double>(std::count_if(callers.begin(), callers.end(), [](const BenchCaller& caller) { return caller.isLarge; }));
    const double smallCount = static_cast<double>(callers.size()) - largeCount;
    const std::vector<double> demands = demand.byPriority();
    std::vector<TrafficSource> sources;
    for (size_t priority = 0; priority < demands.size(); ++priority) {
        for (size_t caller = 0; caller < callers.size(); ++caller) {
            const double fraction = callers[caller].isLarge ? (demands[priority] - smallCallersFraction) / largeCount : smallCallersFraction / smallCount;
            // Only the large callers send long batch requests.
            const double length = callers[caller].isLarge && priority + 1 == demands.size() ? demand.batchLength : 1;
            sources.push_back({ .caller = caller, .priority = priority, .requestsPerSecond = fraction * capacity / length, .lengthFactor = length });
        }
    }
    return sources;
}

static void applyFault(Deployment& deployment, const Fault& fault)
{
    switch (fault.kind) {
    case FaultKind::KillEngine:
        deployment.killEngine(fault.target);
        return;
    case FaultKind::KillFabric:
        deployment.killFabric(fault.target);
        return;
    case FaultKind::KillNode:
        deployment.killNode(fault.target);
        return;
    case FaultKind::RestartKilled:
        deployment.restartKilled();
        return;
    case FaultKind::PlatformDown:
        deployment.setPlatformDown(true);
        return;
    case FaultKind::PlatformUp:
        deployment.setPlatformDown(false);
        return;
    case FaultKind::PartitionDomain:
        deployment.partitionDomain(fault.target);
        return;
    case FaultKind::HealDomains:
        deployment.healDomains();
        return;
    }
}

static void scheduleFaults(Deployment& deployment, const Scenario& scenario, Millis duration, std::vector<std::unique_ptr<QTimer>>& timers)
{
    for (const Fault& fault : scenario.faults) {
        auto timer = std::make_unique<QTimer>();
        timer->setSingleShot(true);
        QObject::connect(timer.get(), &QTimer::timeout, [&deployment, fault] { applyFault(deployment, fault); });
        timer->start(static_cast<int>(fault.at * static_cast<double>(duration.count())));
        timers.push_back(std::move(timer));
    }
}

static double loadAverage()
{
    double average = 0;
    return getloadavg(&average, 1) == 1 ? average : 0;
}

RunResult runScenario(Deployment& deployment, const Scenario& scenario, const RunOptions& options)
{
    std::vector<Arrival> arrivals = makeArrivals(makeSources(scenario.demand, deployment.capacity()), options.duration, options.seed);
    addOrders(arrivals, ordersPerSecond, options.duration);
    const double cpuBefore = deployment.nodeCpuSeconds();
    const Waste wasteBefore = deployment.readWaste();
    const IdleTime idleBefore = deployment.readIdleTime();
    deployment.effects().mark();
    LoadGenerator generator({ .nodes = deployment.nodeAddresses(), .arrivals = arrivals, .isInRotation = [&](size_t node) { return deployment.isInRotation(node); }, .delayMs = deployment.options().network.callerDelayMs });
    std::vector<std::unique_ptr<QTimer>> faults;
    scheduleFaults(deployment, scenario, options.duration, faults);
    const std::vector<Sample> samples = generator.run();
    const Waste waste = deployment.readWaste();
    const IdleTime idle = deployment.readIdleTime();
    const EffectList effects = deployment.effects().read();
    RunResult result = summarise({ .scenario = scenario.name, .policy = options.label, .duration = options.duration, .capacityTokens = deployment.capacity() * meanTokens }, samples);
    result.arrivals = static_cast<int>(arrivals.size());
    result.idleNotAsked = idle.notAsked - idleBefore.notAsked;
    result.idleKeptForUrgent = idle.keptForUrgent - idleBefore.keptForUrgent;
    result.idleNotFound = idle.notFound - idleBefore.notFound;
    result.loadAverage = loadAverage();
    result.maxLagMs = generator.maxLagMs();
    result.cpuMsPerRequest = (deployment.nodeCpuSeconds() - cpuBefore) * 1000 / static_cast<double>(std::max<size_t>(samples.size(), 1));
    result.started = countEffects(effects, "run_started");
    result.cancelled = countEffects(effects, "run_cancelled");
    result.duplicateOrders = countDuplicateOrders(effects);
    result.runsOnIncompleteGroups = countRunsOnIncompleteGroups(effects, deployment.effects().groups(), deployment.engineKills());
    result.strandedSeconds = waste.strandedSeconds - wasteBefore.strandedSeconds;
    result.downtimeSeconds = waste.downtimeSeconds - wasteBefore.downtimeSeconds;
    return result;
}

} // namespace hemlockweir
