#pragma once

#include "base/Clock.h"

#include <string>
#include <vector>

// The callers and priorities of the benchmark, and their arrivals, generated from a seed.

namespace hemlockweir {

// A priority class of the benchmark.
struct BenchPriority {
    std::string name;
    int rank = 0;
    int firstTokenMs = 0; // ms, target
    int deadlineMs = 0; // ms
    double floorShare = 0; // 0..1
};

// A caller of the benchmark.
struct BenchCaller {
    std::string name;
    bool isLarge = false;

    std::string key() const { return name + "-key"; }
};

// A stream of requests from one caller at one priority.
struct TrafficSource {
    size_t caller = 0; // index into benchCallers()
    size_t priority = 0; // index into benchPriorities()
    double requestsPerSecond = 0;
    double lengthFactor = 1; // factor on the tokens per request
};

// A request scheduled for a point in time.
struct Arrival {
    Millis at { 0 }; // ms since the start of the scenario
    size_t caller = 0;
    size_t priority = 0;
    int tokens = 0; // requested tokens
    std::string prompt; // a prefix shared with other prompts, and a unique suffix
    std::string orderKey; // idempotency key of an order to the plain service; empty: a completion
};

// Common to all scenarios.
const std::vector<BenchPriority>& benchPriorities();
const std::vector<BenchCaller>& benchCallers();

// Returns the text of the service file that hemlockctl publishes, for groups of `members` engines.
std::string makeBenchServiceFile(int members);

// Mean number of tokens that a request asks for.
inline constexpr double meanTokens = 20;

// Returns Poisson arrivals with log-normally distributed lengths, sorted by time. The same seed gives
// the same arrivals.
std::vector<Arrival> makeArrivals(const std::vector<TrafficSource>& sources, Millis duration, uint64_t seed);

// Adds orders at a constant rate, from all callers round-robin. Their idempotency keys are unique within
// the process, so runs on the same services don't share keys.
void addOrders(std::vector<Arrival>& arrivals, double ordersPerSecond, Millis duration);

} // namespace hemlockweir
