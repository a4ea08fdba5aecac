// Measures the decisions of real nodes in front of stand-in engines and prints one table.
//
//   hw-bench --seed 1 --seconds 12
//   hw-bench --scenario batch_flood --policy full

#include "Scenario.h"

#include <QCoreApplication>
#include <boost/program_options.hpp>
#include <iostream>

using namespace hemlockweir;
namespace options = boost::program_options;

namespace {

struct BenchOptions {
    std::vector<std::string> scenarios = scenarioNames();
    std::vector<std::string> policies { "full", "least_in_flight", "round_robin" };
    int seconds = 12; // s of arrivals in each scenario
    uint64_t seed = 1;
    DeploymentOptions deployment;
};

// Runs every scenario on one deployment with one policy. Empty: the deployment did not come up.
std::vector<RunResult> runPolicy(const BenchOptions& bench, const std::string& policy)
{
    DeploymentOptions deploymentOptions = bench.deployment;
    deploymentOptions.policy = policy;
    Deployment deployment(deploymentOptions);
    if (!deployment.start())
        return {};
    std::vector<RunResult> results;
    for (const std::string& scenario : bench.scenarios) {
        std::cerr << policy << ' ' << scenario << " ..." << std::endl;
        results.push_back(runScenario(deployment, { .name = scenario, .duration = Millis(1000 * bench.seconds), .seed = bench.seed }));
    }
    return results;
}

int run(const BenchOptions& bench)
{
    std::vector<RunResult> results;
    for (const std::string& policy : bench.policies) {
        const std::vector<RunResult> some = runPolicy(bench, policy);
        if (some.empty()) {
            std::cerr << "the deployment did not come up\n";
            return 1;
        }
        results.insert(results.end(), some.begin(), some.end());
    }
    std::stable_sort(results.begin(), results.end(), [](const RunResult& a, const RunResult& b) { return a.rows.front().scenario < b.rows.front().scenario; });
    printTable(results);
    if (doCountsAddUp(results))
        return 0;
    std::cerr << "the counts do not add up\n";
    return 1;
}

} // namespace

int main(int argc, char** argv)
{
    QCoreApplication application(argc, argv);
    BenchOptions bench;
    options::options_description description("hw-bench: measures nodes in front of stand-in engines");
    description.add_options()("help", "print this text")("smoke", "one short run of each scenario; checks only the counts")(
        "scenario", options::value(&bench.scenarios)->multitoken(), "steady, batch_flood, long_batch_flood, urgent_flood, member_lost; default: all")(
        "policy", options::value(&bench.policies)->multitoken(), "full, least_in_flight, round_robin; default: all")(
        "seconds", options::value(&bench.seconds), "seconds of arrivals in each scenario")("seed", options::value(&bench.seed), "seed of arrivals and lengths")(
        "nodes", options::value(&bench.deployment.nodes), "nodes")("groups", options::value(&bench.deployment.groupsPerDomain), "groups in each of 3 failure domains")(
        "slots", options::value(&bench.deployment.slots), "requests that a group runs at once");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    } catch (const options::error& error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
    if (values.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    if (values.count("smoke") > 0) {
        bench.policies = { "full" };
        bench.scenarios = { "batch_flood" };
        bench.seconds = 1;
        bench.deployment.nodes = 2;
        bench.deployment.groupsPerDomain = 1;
        bench.deployment.domains = 1;
    }
    return run(bench);
}
