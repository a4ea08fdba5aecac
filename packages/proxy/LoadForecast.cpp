#include "proxy/LoadForecast.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace hemlockweir {

// Halvings of the interval of delays. The counts are exact to a thousandth of a request for delays of up to some seconds.
static constexpr int bisectionSteps = 24;

LoadForecast forecastLoad(double reportedRequests, double reportAgeMs, double holdMs)
{
    if (holdMs <= 0)
        return {};
    const double remaining = std::exp(-std::max(0.0, reportAgeMs) / holdMs);
    return { .remainingFraction = remaining, .unseenRequests = reportedRequests * (1 - remaining) };
}

double assuredSlots(double freeSlots, const LoadForecast& forecast)
{
    if (freeSlots <= 0)
        return 0;
    // The largest count with count + sqrt(variance * count) <= freeSlots.
    const double variance = forecast.remainingFraction * forecast.unseenRequests / (1 + forecast.unseenRequests);
    const double root = (std::sqrt(variance + 4 * freeSlots) - std::sqrt(variance)) / 2;
    return root * root;
}

// Returns how many requests the target has got when the delay of the next one reaches this level.
static double countUpTo(const SpreadTarget& target, double levelMs)
{
    return std::clamp((levelMs - target.delayMs) / target.delayPerRequestMs, 0.0, std::max(0.0, target.room));
}

std::vector<double> spreadRequests(const std::vector<SpreadTarget>& targets, double requests)
{
    std::vector<double> counts(targets.size(), 0);
    if (targets.empty())
        return counts;
    const auto sumUpTo = [&](double levelMs) {
        return std::accumulate(targets.begin(), targets.end(), 0.0, [levelMs](double sum, const SpreadTarget& target) { return sum + countUpTo(target, levelMs); });
    };
    double low = targets.front().delayMs;
    double high = low;
    for (const SpreadTarget& target : targets) {
        low = std::min(low, target.delayMs);
        high = std::max(high, target.delayMs + target.delayPerRequestMs * std::max(0.0, std::min(target.room, requests)));
    }
    for (int step = 0; step < bisectionSteps; ++step) {
        const double middle = (low + high) / 2;
        (sumUpTo(middle) < requests ? low : high) = middle;
    }
    std::transform(targets.begin(), targets.end(), counts.begin(), [high](const SpreadTarget& target) { return countUpTo(target, high); });
    return counts;
}

} // namespace hemlockweir
