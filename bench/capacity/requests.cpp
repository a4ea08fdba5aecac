// Measures the CPU cost of requests on one node, or the platform calls of the claim ledger. Run manually:
//
//   capacity-requests --streams 64 --tokens 100 --token-ms 20 --seconds 10
//   capacity-requests --claims
//
// The first form prints the requests and tokens per second through one node and the node's CPU time.
// Runs with few and with many tokens per request separate the cost per request from the cost per token.
// The second form prints the platform calls per claim for several burst sizes.

#include "NodeUsage.h"
#include "support/Cluster.h"

#include "ledger/ClaimLedger.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <boost/program_options.hpp>
#include <gtest/gtest.h>
#include <iostream>

namespace options = boost::program_options;
using namespace hemlockweir;

namespace {

struct Parameters {
    int streams = 64; // concurrent requests
    int tokens = 100; // tokens per request
    int tokenMs = 20; // ms per token in an engine
    int seconds = 10;
    int slots = 16; // per engine
    int idleEngines = 0; // additional engines that the node only polls
};

class RequestLoad {
public:
    explicit RequestLoad(const Parameters& parameters)
        : parameters_(parameters)
    {
    }

    int measure()
    {
        const int engines = parameters_.streams / parameters_.slots + 1 + parameters_.idleEngines;
        cluster_.startStore();
        cluster_.startEngines({ .count = engines, .arguments = { "--token-ms", QString::number(parameters_.tokenMs), "--slots", QString::number(parameters_.slots) } });
        cluster_.startNode({ .name = "n1" });
        std::string file = makeServiceFile(1);
        const std::string members = "members = 1";
        file.replace(file.find(members), members.size(), members + "\nreplicas = 0");
        if (cluster_.publish(file) != 0 || !cluster_.waitForReady("n1"))
            return 1;
        cluster_.waitForGroups("n1", static_cast<size_t>(engines));
        const double idle = measureCpu([] { return false; });
        for (int i = 0; i < parameters_.streams; ++i)
            running_.push_back(startRequest());
        waitUntil([&] { return replaceFinished(); }, std::chrono::seconds(2));
        completed_ = 0;
        failed_ = 0;
        const double busy = measureCpu([this] { return replaceFinished(); });
        print(idle, busy);
        return 0;
    }

private:
    PendingAnswer startRequest()
    {
        return cluster_.startCompletion("n1", { .maxTokens = parameters_.tokens, .stream = true });
    }

    // Starts a new request for each finished one. Always returns false, for use as a waitUntil() condition.
    bool replaceFinished()
    {
        for (PendingAnswer& pending : running_) {
            if (!*pending.isDone)
                continue;
            ++(pending.answer->status == 200 && pending.answer->body.contains("[DONE]") ? completed_ : failed_);
            pending = startRequest();
        }
        return false;
    }

    // Returns the CPU seconds that the node uses per second, while `step` is called repeatedly.
    double measureCpu(const std::function<bool()>& step)
    {
        const double before = readCpuSeconds(cluster_.pidOf("n1"));
        QElapsedTimer elapsed;
        elapsed.start();
        waitUntil(step, std::chrono::seconds(parameters_.seconds));
        return (readCpuSeconds(cluster_.pidOf("n1")) - before) * 1000.0 / static_cast<double>(elapsed.elapsed());
    }

    void print(double idle, double busy) const
    {
        const double requests = static_cast<double>(completed_) / parameters_.seconds;
        const double tokens = requests * parameters_.tokens;
        std::cout.precision(4);
        std::cout << "engines=" << parameters_.streams / parameters_.slots + 1 + parameters_.idleEngines << " streams=" << parameters_.streams << " tokens_each=" << parameters_.tokens << " requests_s=" << requests << " tokens_s=" << tokens
                  << " failed=" << failed_ << " cpu_idle=" << idle << " cpu_busy=" << busy << " cpu_us_per_request=" << (busy - idle) * 1e6 / std::max(requests, 0.001)
                  << " cpu_us_per_token=" << (busy - idle) * 1e6 / std::max(tokens, 0.001) << '\n';
    }

    Parameters parameters_;
    Cluster cluster_;
    std::vector<PendingAnswer> running_;
    int completed_ = 0;
    int failed_ = 0;
};

int measureClaims()
{
    Cluster cluster;
    cluster.startStore();
    KvClient platform({ .endpoints = { QUrl(QString::fromStdString(cluster.urlOf("store"))) }, .timeout = hangLimit });
    ClaimLedger ledger({ .owner = "bench", .clock = makeSteadyClock(), .random = makeSystemRandom() }, makeClaimStore(platform));
    int lastKey = 0;
    auto claim = [&](int burst) {
        int granted = 0;
        int ended = 0;
        for (int i = 0; i < burst; ++i) {
            ledger.claim({ .caller = "caller", .idempotencyKey = QByteArray::number(++lastKey), .requestHash = "hash" }, [&](const ClaimResult& result) {
                ++ended;
                granted += result.outcome == ClaimOutcome::Granted ? 1 : 0;
            });
        }
        waitUntil([&] { return ended == burst; });
        return granted;
    };
    claim(1); // acquires the lease
    for (const int burst : { 1, 4, 16, 64, 256 }) {
        const uint64_t before = platform.callsMade();
        QElapsedTimer elapsed;
        elapsed.start();
        const int granted = claim(burst);
        const auto calls = static_cast<double>(platform.callsMade() - before);
        std::cout << "claims_together=" << burst << " granted=" << granted << " platform_calls=" << calls << " calls_per_claim=" << calls / burst << " ms=" << elapsed.elapsed() << '\n';
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    testing::InitGoogleTest(&argc, argv);
    Parameters parameters;
    options::options_description description("Measures the cost of requests and claims");
    description.add_options()("help,h", "show this text")("claims", "measure the claim ledger instead")(
        "streams", options::value(&parameters.streams)->default_value(parameters.streams), "concurrent requests")(
        "tokens", options::value(&parameters.tokens)->default_value(parameters.tokens), "tokens per request")(
        "token-ms", options::value(&parameters.tokenMs)->default_value(parameters.tokenMs), "ms per token in an engine")(
        "idle-engines", options::value(&parameters.idleEngines)->default_value(parameters.idleEngines), "engines beyond those that the streams need")(
        "seconds", options::value(&parameters.seconds)->default_value(parameters.seconds), "time measured");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    if (values.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    QCoreApplication application(argc, argv);
    return values.count("claims") > 0 ? measureClaims() : RequestLoad(parameters).measure();
}
