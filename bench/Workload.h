#pragma once

#include "base/Clock.h"

#include <string>
#include <vector>

// The callers and priorities of the bench, and the arrivals that a seed makes of them.

namespace hemlockweir {

// One priority class of the bench.
struct BenchPriority {
    std::string name;
    int rank = 0;
    int firstTokenMs = 0; // ms, target
    int deadlineMs = 0; // ms
    double floorShare = 0; // 0..1
};

// One caller of the bench.
struct BenchCaller {
    std::string name;
    bool isLarge = false;

    std::string key() const { return name + "-key"; }
};

// Requests that one caller sends at one priority.
struct TrafficSource {
    size_t caller = 0; // index into benchCallers()
    size_t priority = 0; // index into benchPriorities()
    double requestsPerSecond = 0;
    double lengthFactor = 1; // times as many tokens as the mean
};

// One request to come.
struct Arrival {
    Millis at { 0 }; // from the start of the scenario
    size_t caller = 0;
    size_t priority = 0;
    int tokens = 0; // tokens asked for
    std::string prompt; // a prefix that others share, and a text of its own
    std::string orderKey; // not empty: an order to the plain service, with this idempotency key
};

// What every scenario of the bench shares.
const std::vector<BenchPriority>& benchPriorities();
const std::vector<BenchCaller>& benchCallers();

// The service file that hemlockctl publishes.
std::string makeBenchServiceFile(int members);

// Mean of the tokens that a request asks for.
inline constexpr double meanTokens = 20;

// Poisson arrivals with lengths from a log-normal distribution, in order of time. The same seed gives the
// same arrivals.
std::vector<Arrival> makeArrivals(const std::vector<TrafficSource>& sources, Millis duration, uint64_t seed);

// Adds evenly spread orders of all callers in turn; their keys are unique among all runs of a bench.
void addOrders(std::vector<Arrival>& arrivals, double ordersPerSecond, Millis duration);

} // namespace hemlockweir
