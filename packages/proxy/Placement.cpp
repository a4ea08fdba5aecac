#include "proxy/Placement.h"

#include "base/StableHash.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace hemlockweir {

// Added to the utilization of a target in another failure domain: such a target is chosen only if its expected delay
// is shorter by this fraction of an event interval.
static constexpr double remoteDomainPenalty = 0.05;
// Values of a random number between 0 and 1.
static constexpr uint64_t drawResolution = 1 << 20;
// Event intervals of the allowed pause that can't be spent on prompts: the current one and the next one.
static constexpr double reservedEventIntervals = 2;

// Fraction of a target's slots available to late or less urgent requests. The rest stays reserved for requests that
// are neither: in an overload the next of them arrives within milliseconds, while a slot stays occupied for a
// second.
static constexpr double lateRequestFraction = 0.85;
// Fraction of the slots of a target that failed here, in use by the other nodes, from which on it works for them. Probes alone don't
// use as many.
static constexpr double usedByPeersFraction = 0.5;
// Fraction of the prompt budget available to less urgent requests.
static constexpr double yieldingPromptFraction = 0.5;

void TargetLoad::add(const PlacementRequest& request, Millis now)
{
    const double promptMs = target.promptMs(request.promptTokens);
    const double startsAtMs = std::max(promptsDoneAtMs(), static_cast<double>(now.count()));
    placed.push_back({ .id = request.id, .placedAt = now, .promptMs = promptMs, .promptDoneAtMs = startsAtMs + promptMs });
}

const PlacedRequest* TargetLoad::find(uint64_t id) const
{
    const auto found = std::find_if(placed.begin(), placed.end(), [id](const PlacedRequest& request) { return request.id == id; });
    return found == placed.end() ? nullptr : &*found;
}

std::optional<double> TargetLoad::remove(uint64_t id, Millis now)
{
    const auto found = std::find_if(placed.begin(), placed.end(), [id](const PlacedRequest& request) { return request.id == id; });
    if (found == placed.end())
        return std::nullopt;
    const double startedAtMs = found->promptDoneAtMs - found->promptMs;
    const double leftMs = std::max(0.0, found->promptDoneAtMs - std::max(startedAtMs, static_cast<double>(now.count())));
    for (auto behind = placed.erase(found); behind != placed.end(); ++behind)
        behind->promptDoneAtMs -= leftMs;
    return leftMs;
}

double TargetLoad::promptWaitMs(Millis now) const
{
    const auto time = static_cast<double>(now.count());
    return std::max(0.0, promptsDoneAtMs() - time) + std::max(0.0, peerPromptsDoneAtMs - time);
}

uint32_t hashTarget(const std::string& targetId)
{
    const uint64_t hash = extendStableHash(stableHashStart, targetId);
    return static_cast<uint32_t>(hash ^ (hash >> 32));
}

uint32_t hashModel(const std::string& service, const std::string& model)
{
    return hashTarget(service + '/' + model);
}

// Returns whether the target can process one more prompt without pausing its streams for longer than allowed. A target
// without pending prompts always can.
static bool fitsPromptBudget(const TargetLoad& load, const PlacementRequest& request, Millis now)
{
    const double wait = load.promptWaitMs(now);
    if (wait <= 0 || request.gapTarget.count() <= 0)
        return true;
    const double budgetMs = (static_cast<double>(request.gapTarget.count()) - reservedEventIntervals * load.target.eventIntervalMs) * (request.yieldsToUrgent ? yieldingPromptFraction : 1);
    return wait + load.target.promptMs(request.promptTokens) <= budgetMs;
}

// Returns the number of slots of the target that requests like this one may use.
static double usableSlots(const TargetLoad& load, const PlacementRequest& request)
{
    double slots = std::max<uint32_t>(1, load.target.slots);
    if (request.isLate || request.yieldsToUrgent)
        slots = std::max(1.0, std::floor(slots * lateRequestFraction));
    if (load.consecutiveFailures == 0)
        return slots;
    // A target that failed gets a single probe request before it gets more. If the other nodes use it, only requests of this node
    // count: theirs would otherwise keep this node from it for as long as they come.
    if (load.peerRunning >= usedByPeersFraction * load.target.slots)
        return load.running() == 0 ? slots : 0;
    return 1;
}

bool canAccept(const TargetLoad& load, const PlacementRequest& request, Millis now, const LoadForecast& forecast)
{
    if (!load.isUsable(now) || load.allowance < 1 || request.excludedEndpoints.count(load.target.id) > 0)
        return false;
    return load.expectedSlots(forecast) + 1 <= usableSlots(load, request) + 0.5 && fitsPromptBudget(load, request, now);
}

// Returns the target as one that requests are spread over. A full batch delays a request by about one event interval more than
// an empty batch.
static SpreadTarget describe(const TargetLoad& load, const PlacementRequest& request, const std::string& ownDomain, Millis now, const LoadForecast& forecast)
{
    const double intervalMs = std::max(1.0, load.target.eventIntervalMs);
    const double slots = std::max<uint32_t>(1, load.target.slots);
    const double utilization = load.seenSlots(forecast) / slots + (load.target.domain == ownDomain ? 0 : remoteDomainPenalty);
    return {
        .delayMs = load.promptWaitMs(now) + utilization * intervalMs,
        .delayPerRequestMs = intervalMs / slots + load.target.promptMsPerToken * forecast.typicalPromptTokens,
        .room = assuredSlots(std::max(1.0, usableSlots(load, request) - load.seenSlots(forecast)), forecast),
    };
}

// Returns a random index, each with a probability in proportion to its count.
static size_t drawIndex(const std::vector<double>& counts, const Random& random)
{
    const double sum = std::accumulate(counts.begin(), counts.end(), 0.0);
    double left = static_cast<double>(random() % drawResolution) / drawResolution * sum;
    size_t index = 0;
    while (index + 1 < counts.size() && (left -= counts[index]) >= 0)
        ++index;
    return index;
}

size_t sampleSize(size_t freeTargets, double unseenRequests)
{
    constexpr double minSampleSize = 3;
    // The best of this many samples is, on average, in the middle of the best 1 + unseenRequests targets.
    const double samples = 2 * static_cast<double>(freeTargets) / (1 + unseenRequests);
    return static_cast<size_t>(std::max(minSampleSize, samples));
}

// Returns the index of the target with the shortest delay among a random sample.
static size_t sampleIndex(const std::vector<SpreadTarget>& targets, double unseenRequests, const Random& random)
{
    std::vector<size_t> order(targets.size());
    std::iota(order.begin(), order.end(), size_t(0));
    const size_t samples = std::min(order.size(), sampleSize(order.size(), unseenRequests));
    size_t best = 0;
    for (size_t i = 0; i < samples; ++i) {
        std::swap(order[i], order[i + random() % (order.size() - i)]);
        if (i == 0 || targets[order[i]].delayMs < targets[best].delayMs)
            best = order[i];
    }
    return best;
}

const TargetLoad* chooseTarget(const std::vector<const TargetLoad*>& loads, const PlacementRequest& request, const std::string& ownDomain, Millis now, const LoadForecast& forecast, const Random& random)
{
    std::vector<const TargetLoad*> free;
    std::copy_if(loads.begin(), loads.end(), std::back_inserter(free), [&](const TargetLoad* load) { return canAccept(*load, request, now, forecast); });
    if (free.empty())
        return nullptr;
    std::vector<SpreadTarget> targets;
    targets.reserve(free.size());
    std::transform(free.begin(), free.end(), std::back_inserter(targets), [&](const TargetLoad* load) { return describe(*load, request, ownDomain, now, forecast); });
    // Most of what recent reports say still holds: the targets can be compared, and prompts of several nodes are kept apart better.
    if (forecast.remainingFraction > comparableFraction)
        return free[sampleIndex(targets, forecast.unseenRequests, random)];
    return free[drawIndex(spreadRequests(targets, 1 + forecast.unseenRequests), random)];
}

} // namespace hemlockweir
