#include "proxy/ServiceTimes.h"

#include <algorithm>
#include <cmath>

namespace hemlockweir {

// Margin above the longest of n samples, as a fraction of it: this divided by the square root of n.
static constexpr double marginOfOneSample = 2;

ServiceTimes::ServiceTimes(Options options)
    : options_(std::move(options))
{
}

void ServiceTimes::note(const std::string& route, Millis time)
{
    const Millis now = options_.clock();
    Windows& windows = byRoute_[route];
    const Millis age = now - windows.startedAt;
    if (age >= options_.window) {
        windows.previous = age < 2 * options_.window ? windows.current : Samples {};
        windows.current = {};
        windows.startedAt = now;
    }
    windows.current.longest = std::max(windows.current.longest, time);
    ++windows.current.count;
}

std::optional<Millis> ServiceTimes::longest(const std::string& route) const
{
    const auto found = byRoute_.find(route);
    if (found == byRoute_.end())
        return std::nullopt;
    const Windows& windows = found->second;
    const Millis age = options_.clock() - windows.startedAt;
    if (age >= 2 * options_.window)
        return std::nullopt;
    const Samples previous = age < options_.window ? windows.previous : Samples {};
    const auto longest = static_cast<double>(std::max(windows.current.longest, previous.longest).count());
    const auto count = static_cast<double>(windows.current.count + previous.count);
    return Millis(std::llround(longest * (1 + marginOfOneSample / std::sqrt(count))));
}

void ServiceTimes::retainIf(const std::function<bool(const std::string&)>& isKept)
{
    std::erase_if(byRoute_, [&](const auto& entry) { return !isKept(entry.first); });
}

bool endsInTime(Millis timeLeft, std::optional<Millis> longest, Millis limit)
{
    return timeLeft > Millis(0) && std::min(longest.value_or(limit), limit) <= timeLeft;
}

} // namespace hemlockweir
