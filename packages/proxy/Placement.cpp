#include "proxy/Placement.h"

#include "base/StableHash.h"

#include <algorithm>
#include <cmath>

namespace hemlockweir {

// Added to the utilization of a target in another failure domain: such a target is chosen only if its expected delay
// is shorter by this fraction of an event interval.
static constexpr double remoteDomainPenalty = 0.05;
// Event intervals of the allowed pause that can't be spent on prompts: the current one and the next one.
static constexpr double reservedEventIntervals = 2;

// Fraction of a target's slots available to late or less urgent requests. The rest stays reserved for requests that
// are neither: in an overload the next of them arrives within milliseconds, while a slot stays occupied for a
// second.
static constexpr double lateRequestFraction = 0.85;
// Fraction of the prompt budget available to less urgent requests.
static constexpr double yieldingPromptFraction = 0.5;

void TargetLoad::add(const PlacementRequest& request, Millis now)
{
    const double promptMs = target.promptMs(request.promptTokens);
    const double startsAtMs = std::max(promptsDoneAtMs(), static_cast<double>(now.count()));
    placed.push_back({ .id = request.id, .promptMs = promptMs, .promptDoneAtMs = startsAtMs + promptMs });
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

size_t sampleSize(size_t freeTargets, double unseenPlacements)
{
    constexpr double minSampleSize = 3;
    // The best of this many samples is, on average, in the middle of the best 1 + unseenPlacements targets.
    const double samples = 2 * static_cast<double>(freeTargets) / (1 + unseenPlacements);
    return static_cast<size_t>(std::max(minSampleSize, samples));
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

bool canAccept(const TargetLoad& load, const PlacementRequest& request, Millis now)
{
    if (!load.isUsable(now) || load.allowance < 1 || request.excludedEndpoints.count(load.target.id) > 0)
        return false;
    double slots = std::max<uint32_t>(1, load.target.slots);
    if (request.isLate || request.yieldsToUrgent)
        slots = std::max(1.0, std::floor(slots * lateRequestFraction));
    // A target that failed gets a single probe request before it gets more.
    if (load.consecutiveFailures > 0)
        slots = 1;
    return load.usedSlots() + 1 <= slots + 0.5 && fitsPromptBudget(load, request, now);
}

// Returns the expected delay of a request on the target, in ms. A full batch delays it by about one event interval
// more than an empty batch.
static double placementCostMs(const TargetLoad& load, const std::string& ownDomain, Millis now)
{
    const double intervalMs = std::max(1.0, load.target.eventIntervalMs);
    const double utilization = load.usedSlots() / std::max<uint32_t>(1, load.target.slots) + (load.target.domain == ownDomain ? 0 : remoteDomainPenalty);
    return load.promptWaitMs(now) + utilization * intervalMs;
}

const TargetLoad* chooseTarget(const std::vector<const TargetLoad*>& loads, const PlacementRequest& request, const std::string& ownDomain, Millis now, double unseenPlacements, const Random& random)
{
    std::vector<const TargetLoad*> free;
    std::copy_if(loads.begin(), loads.end(), std::back_inserter(free), [&](const TargetLoad* load) { return canAccept(*load, request, now); });
    if (free.empty())
        return nullptr;
    const TargetLoad* best = nullptr;
    double bestCost = 0;
    const size_t samples = std::min(free.size(), sampleSize(free.size(), unseenPlacements));
    for (size_t i = 0; i < samples; ++i) {
        std::swap(free[i], free[i + random() % (free.size() - i)]);
        const double cost = placementCostMs(*free[i], ownDomain, now);
        if (!best || cost < bestCost) {
            best = free[i];
            bestCost = cost;
        }
    }
    return best;
}

} // namespace hemlockweir
