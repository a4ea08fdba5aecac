// Measures the scheduling of real nodes with stand-in engines and prints two tables for each scenario.
//
//   hw-bench --deployment kiriamu --seconds 8 --seed 1
//   hw-bench --scenario batch_flood --policy full --compare-with OTHER_BUILD/bin/hemlockweir
//
// Runs each scenario with all policies in turn, on the same engines and with the same arrivals.

#include "Scenario.h"

#include <QCoreApplication>
#include <boost/program_options.hpp>
#include <iostream>

using namespace hemlockweir;
namespace options = boost::program_options;

namespace {

struct BenchOptions {
    std::vector<std::string> scenarios; // names; empty: all
    std::vector<std::string> policies { "full", "no_admission", "least_in_flight", "round_robin" };
    std::string compareWith; // path of another build's hemlockweir; empty: none
    int seconds = 8; // s during which requests arrive in each scenario
    int rounds = 1; // repetitions of all scenarios, each with the next seed
    uint64_t seed = 1;
    DeploymentOptions deployment;
};

std::vector<NodeProgram> makePrograms(const BenchOptions& bench)
{
    std::vector<NodeProgram> programs;
    for (const std::string& policy : bench.policies) {
        programs.push_back({ .policy = policy, .label = policy });
        if (!bench.compareWith.empty())
            programs.push_back({ .policy = policy, .path = QString::fromStdString(bench.compareWith), .label = policy + " (other)" });
    }
    return programs;
}

std::vector<Scenario> selectScenarios(const BenchOptions& bench)
{
    std::vector<Scenario> selected;
    for (const Scenario& scenario : scenarios()) {
        if (bench.scenarios.empty() || std::find(bench.scenarios.begin(), bench.scenarios.end(), scenario.name) != bench.scenarios.end())
            selected.push_back(scenario);
    }
    return selected;
}

// Runs one scenario with each program in turn. Returns false if the nodes did not start or recover.
bool runWithAllPrograms(Deployment& deployment, const Scenario& scenario, const BenchOptions& bench, uint64_t seed, std::vector<RunResult>& results)
{
    for (const NodeProgram& program : makePrograms(bench)) {
        if (!deployment.runNodes(program))
            return false;
        std::cerr << scenario.name << ' ' << program.label << " seed " << seed << " ..." << std::endl;
        results.push_back(runScenario(deployment, scenario, { .label = program.label, .duration = Millis(1000 * bench.seconds), .seed = seed }));
        if (!deployment.restore())
            return false;
    }
    return true;
}

std::string describe(const DeploymentOptions& deployment)
{
    return deployment.name + ": " + std::to_string(deployment.groups() * deployment.members) + " engines in " + std::to_string(deployment.groups()) + " groups of " + std::to_string(deployment.members) + " in "
        + std::to_string(deployment.domains) + " failure domains, " + std::to_string(deployment.slots) + " slots a group, " + std::to_string(deployment.tokenMs) + " ms a token, " + std::to_string(deployment.prefillMs) + " ms to the first, "
        + std::to_string(deployment.nodes) + " nodes, " + std::to_string(deployment.services) + " plain instances; one way " + std::to_string(deployment.network.domainDelayMs) + " ms between domains, "
        + std::to_string(deployment.network.callerDelayMs) + " ms to callers";
}

int run(const BenchOptions& bench)
{
    Deployment deployment(bench.deployment);
    bool isDeploymentReady = deployment.start();
    bool areConsistent = true;
    std::cout << describe(bench.deployment) << std::endl;
    for (int round = 0; round < bench.rounds; ++round) {
        for (const Scenario& scenario : selectScenarios(bench)) {
            std::vector<RunResult> results;
            isDeploymentReady = isDeploymentReady && runWithAllPrograms(deployment, scenario, bench, bench.seed + static_cast<uint64_t>(round), results);
            // Print after each scenario, so that an interrupted benchmark leaves its results so far.
            std::cout << std::endl;
            printTable(results);
            areConsistent = areConsistent && areCountsConsistent(results);
        }
    }
    if (!isDeploymentReady) {
        std::cerr << "the deployment did not start, or did not recover after a scenario\n";
        return 1;
    }
    if (areConsistent)
        return 0;
    std::cerr << "the request counts are inconsistent\n";
    return 1;
}

std::string scenarioNames()
{
    std::string names;
    for (const Scenario& scenario : scenarios())
        names += scenario.name + " ";
    return names + "(default: all)";
}

options::options_description describeOptions(BenchOptions& bench, std::string& deployment)
{
    options::options_description description("hw-bench: measures the scheduling of nodes with stand-in engines");
    description.add_options()("help", "print this text")("smoke", "one short run; checks only the request counts")(
        "deployment", options::value(&deployment), "kiriamu, marcacao or small")("no-delays", "no delays between failure domains and to callers")(
        "scenario", options::value(&bench.scenarios)->multitoken(), scenarioNames().c_str())(
        "policy", options::value(&bench.policies)->multitoken(), "full, no_admission, least_in_flight, round_robin; default: all")(
        "compare-with", options::value(&bench.compareWith), "path of another build's hemlockweir, which runs in turn with this one")(
        "seconds", options::value(&bench.seconds), "seconds during which requests arrive in each scenario")("rounds", options::value(&bench.rounds), "repetitions of all scenarios, each with the next seed")(
        "seed", options::value(&bench.seed), "seed of arrivals and lengths");
    return description;
}

} // namespace

int main(int argc, char** argv)
{
    QCoreApplication application(argc, argv);
    BenchOptions bench;
    std::string deployment = "kiriamu";
    const options::options_description description = describeOptions(bench, deployment);
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
        deployment = "small";
        bench.policies = { "full" };
        bench.scenarios = { "batch_flood" };
        bench.seconds = 1;
    }
    const std::optional<DeploymentOptions> found = findDeployment(deployment);
    if (!found) {
        std::cerr << "unknown deployment; expected kiriamu, marcacao or small\n";
        return 2;
    }
    bench.deployment = *found;
    if (values.count("no-delays") > 0)
        bench.deployment.network = {};
    return run(bench);
}
