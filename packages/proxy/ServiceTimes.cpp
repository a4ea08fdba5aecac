#include "proxy/ServiceTimes.h"

#include <algorithm>
#include <cmath>

namespace hemlockweir {

// Margin above the longest of n samples, as a fraction of it: this divided by the square root of n.
static constexpr double marginOfOneSample = 2;
// The same for streams with a limit of tokens, which explains most of the difference between their times.
static constexpr double marginOfOnePacedSample = 1;
// Streams with a lower limit of tokens count as ones with this limit: a single pause would dominate their pace.
static constexpr uint32_t minPacedTokens = 64;

static double withMargin(double time, double marginOfOne, size_t samples)
{
    return time * (1 + marginOfOne / std::sqrt(static_cast<double>(samples)));
}

ServiceTimes::Samples ServiceTimes::Samples::mergedWith(const Samples& other) const
{
    return {
        .longest = std::max(longest, other.longest),
        .longestAnswerTokens = longest >= other.longest ? longestAnswerTokens : other.longestAnswerTokens,
        .count = count + other.count,
        .slowestStart = std::max(slowestStart, other.slowestStart),
        .slowestPace = std::max(slowestPace, other.slowestPace),
        .pacedCount = pacedCount + other.pacedCount,
    };
}

double ServiceTimes::Samples::estimateByLongest(uint32_t answerTokens) const
{
    const double ratio = longestAnswerTokens > 0 ? static_cast<double>(answerTokens) / longestAnswerTokens : 1;
    return withMargin(static_cast<double>(longest.count()) * std::max(1.0, ratio), marginOfOneSample, count);
}

double ServiceTimes::Samples::estimateByPace(uint32_t answerTokens) const
{
    return withMargin(static_cast<double>(slowestStart.count()) + slowestPace * std::max(answerTokens, minPacedTokens), marginOfOnePacedSample, pacedCount);
}

ServiceTimes::ServiceTimes(Options options)
    : options_(std::move(options))
{
}

void ServiceTimes::note(const std::string& route, const ServiceTime& time)
{
    const Millis now = options_.clock();
    Windows& windows = byRoute_[route];
    const Millis age = now - windows.startedAt;
    if (age >= options_.window) {
        windows.previous = age < 2 * options_.window ? windows.current : Samples {};
        windows.current = {};
        windows.startedAt = now;
    }
    Samples sample { .longest = time.total, .longestAnswerTokens = time.answerTokens, .count = 1 };
    if (time.answerTokens > 0) {
        sample.slowestStart = time.untilFirstEvent;
        sample.slowestPace = static_cast<double>((time.total - time.untilFirstEvent).count()) / std::max(time.answerTokens, minPacedTokens);
        sample.pacedCount = 1;
    }
    windows.current = windows.current.mergedWith(sample);
}

std::optional<Millis> ServiceTimes::longest(const std::string& route, uint32_t answerTokens) const
{
    const auto found = byRoute_.find(route);
    if (found == byRoute_.end())
        return std::nullopt;
    const Windows& windows = found->second;
    const Millis age = options_.clock() - windows.startedAt;
    if (age >= 2 * options_.window)
        return std::nullopt;
    const Samples samples = age < options_.window ? windows.current.mergedWith(windows.previous) : windows.current;
    if (answerTokens == 0 || samples.pacedCount == 0)
        return Millis(std::llround(samples.estimateByLongest(0)));
    const double byPace = samples.estimateByPace(answerTokens);
    return Millis(std::llround(samples.longestAnswerTokens > 0 ? std::min(byPace, samples.estimateByLongest(answerTokens)) : byPace));
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
