#include "Workload.h"

#include "config/Configuration.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace hemlockweir {

const std::vector<BenchPriority>& benchPriorities()
{
    static const std::vector<BenchPriority> priorities {
        { .name = "urgent", .rank = 0, .firstTokenMs = 310, .deadlineMs = 1000, .floorShare = 0.0 },
        { .name = "standard", .rank = 1, .firstTokenMs = 2000, .deadlineMs = 3000, .floorShare = 0.15 },
        { .name = "batch", .rank = 2, .firstTokenMs = 6000, .deadlineMs = 6000, .floorShare = 0.1 },
    };
    return priorities;
}

const std::vector<BenchCaller>& benchCallers()
{
    static const std::vector<BenchCaller> callers {
        { .name = "large-1", .isLarge = true },
        { .name = "large-2", .isLarge = true },
        { .name = "large-3", .isLarge = true },
        { .name = "small-1" },
        { .name = "small-2" },
        { .name = "small-3" },
        { .name = "small-4" },
        { .name = "small-5" },
        { .name = "small-6" },
        { .name = "small-7" },
    };
    return callers;
}

std::string makeBenchServiceFile(int members)
{
    std::string text;
    for (const BenchPriority& priority : benchPriorities()) {
        text += "[[priority]]\nname = \"" + priority.name + "\"\nrank = " + std::to_string(priority.rank) + "\nfirst_token_ms = " + std::to_string(priority.firstTokenMs)
            + "\ndeadline_ms = " + std::to_string(priority.deadlineMs) + "\nfloor_share = " + std::to_string(priority.floorShare) + "\n\n";
    }
    for (const BenchCaller& caller : benchCallers()) {
        text += "[[caller]]\nname = \"" + caller.name + "\"\nkey_sha256 = \"" + hashCallerKey(QByteArray::fromStdString(caller.key()))
            + "\"\ndefault_priority = \"standard\"\n\n";
    }
    return text + "[[model]]\nname = \"m\"\npool = \"models\"\nmembers = " + std::to_string(members) + "\n\n[[service]]\nname = \"orders\"\npool = \"orders\"\npath = \"/orders\"\n";
}

static std::string makePrompt(size_t topic, size_t number)
{
    constexpr size_t prefixLength = 512;
    std::string prefix = "topic " + std::to_string(topic) + ": ";
    while (prefix.size() < prefixLength)
        prefix += "catalogue page ";
    prefix.resize(prefixLength);
    return prefix + " question " + std::to_string(number);
}

static void sortByTime(std::vector<Arrival>& arrivals)
{
    std::stable_sort(arrivals.begin(), arrivals.end(), [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
}

std::vector<Arrival> makeArrivals(const std::vector<TrafficSource>& sources, Millis duration, uint64_t seed)
{
    constexpr double sigma = 0.6;
    constexpr int topicsPerCaller = 8;
    const double mu = std::log(meanTokens) - sigma * sigma / 2;
    std::mt19937_64 engine(seed);
    std::lognormal_distribution<double> tokens(mu, sigma);
    std::geometric_distribution<int> topic(0.3);
    std::vector<Arrival> arrivals;
    for (const TrafficSource& source : sources) {
        std::exponential_distribution<double> gap(source.requestsPerSecond / 1000.0);
        for (double at = gap(engine); at < static_cast<double>(duration.count()); at += gap(engine)) {
            arrivals.push_back({ .at = Millis(static_cast<int64_t>(at)),
                .caller = source.caller,
                .priority = source.priority,
                .tokens = std::clamp(static_cast<int>(source.lengthFactor * tokens(engine)), 1, 500),
                .prompt = makePrompt(source.caller * topicsPerCaller + static_cast<size_t>(std::min(topic(engine), topicsPerCaller - 1)), arrivals.size()),
                .orderKey = {} });
        }
    }
    sortByTime(arrivals);
    return arrivals;
}

void addOrders(std::vector<Arrival>& arrivals, double ordersPerSecond, Millis duration)
{
    static int number = 0;
    const double gapMs = 1000 / ordersPerSecond;
    for (double at = gapMs / 2; at < static_cast<double>(duration.count()); at += gapMs) {
        ++number;
        arrivals.push_back({ .at = Millis(static_cast<int64_t>(at)),
            .caller = static_cast<size_t>(number) % benchCallers().size(),
            .priority = 1,
            .prompt = {},
            .orderKey = "order-" + std::to_string(number) });
    }
    sortByTime(arrivals);
}

} // namespace hemlockweir
