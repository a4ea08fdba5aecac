#include "proxy/RetryDelay.h"

#include <algorithm>

namespace hemlockweir {

// Fractions of the time left until the deadline: up to the first a caller is sent away in any overload; the range of a long
// backlog, or of many refused callers, begins at the second at the latest.
static constexpr double usualFraction = 0.3;
static constexpr double largestFraction = 0.6;

Millis chooseRetryAfter(const RetryOutlook& outlook, const Random& random)
{
    const double left = std::max(0.0, static_cast<double>(outlook.timeLeft.count()));
    const double usual = std::min(static_cast<double>(maxRetryAfter.count()), left * usualFraction);
    const double latest = std::max({ static_cast<double>(minRetryAfter.count()), usual, left * largestFraction });
    const double from = std::min(latest, std::max(outlook.backlogMs, usual / 2));
    const double to = std::min(std::max(latest, from + usual / 2), from + std::max({ usual / 2, outlook.backlogMs, outlook.refusedMs }));
    const double chosen = from + (to - from) * static_cast<double>(random() % 1000) / 1000;
    return std::max(minRetryAfter, Millis(static_cast<int64_t>(chosen)));
}

} // namespace hemlockweir
