#include "proxy/Placement.h"

#include "base/StableHash.h"

#include <algorithm>
#include <cmath>

namespace hemlockweir {

// A target in another failure domain must be better by this part of a pass to be taken.
static constexpr double remoteDomainPenalty = 0.05;
// Passes that a stream's pause keeps free of prompts: the one under way and the one that is next.
static constexpr double reservedEventIntervals = 2;

// The part of a target's places for requests that are late already, or less urgent than others. The rest
// stays free for the next that is neither: in an overload it comes within milliseconds, and a place is held
// for a second.
static constexpr double lateRequestFraction = 0.85;
// The part of the room for prompts for requests that are less urgent than others.
static constexpr double yieldingPromptFraction = 0.5;

double TargetLoad::promptWaitMs(Millis now) const
{
    const auto time = static_cast<double>(now.count());
    return std::max(0.0, promptsDoneAtMs - time) + std::max(0.0, peerPromptsDoneAtMs - time);
}

uint32_t hashTarget(const std::string& targetId)
{
    const uint64_t hash = extendStableHash(stableHashStart, targetId);
    return static_cast<uint32_t>(hash ^ (hash >> 32));
}

size_t sampleSize(size_t freeTargets, size_t nodes, double promptMs)
{
    constexpr size_t least = 3;
    return promptMs > longPromptMs ? freeTargets : std::max(least, freeTargets / std::max<size_t>(1, nodes));
}

// Whether the prompts placed on a target leave room for one more within the pause that streams allow.
static bool fitsPromptBudget(const TargetLoad& load, const PlacementRequest& request, Millis now)
{
    const double wait = load.promptWaitMs(now);
    if (wait <= 0 || request.gapTarget.count() <= 0)
        return true;
    const double room = (static_cast<double>(request.gapTarget.count()) - reservedEventIntervals * load.target.eventIntervalMs) * (request.yieldsToUrgent ? yieldingPromptFraction : 1);
    return wait + load.target.promptMs(request.promptTokens) <= room;
}

// Whether a target can take one more request of the ticket.
static bool canAccept(const TargetLoad& load, const PlacementRequest& request, Millis now)
{
    if (load.suspectUntil > now || request.excludedEndpoints.count(load.target.id) > 0)
        return false;
    double slots = std::max<uint32_t>(1, load.target.slots);
    if (request.isLate || request.yieldsToUrgent)
        slots = std::max(1.0, std::floor(slots * lateRequestFraction));
    // One that failed is tried with a single request before it gets more.
    if (load.consecutiveFailures > 0)
        slots = 1;
    return load.usedSlots() + 1 <= slots + 0.5 && fitsPromptBudget(load, request, now);
}

// What a request loses on a target, ms: a full batch costs it about a pass more than an empty one.
static double placementCostMs(const TargetLoad& load, const std::string& ownDomain, Millis now)
{
    const double pass = std::max(1.0, load.target.eventIntervalMs);
    const double use = load.usedSlots() / std::max<uint32_t>(1, load.target.slots) + (load.target.domain == ownDomain ? 0 : remoteDomainPenalty);
    return load.promptWaitMs(now) + use * pass;
}

const TargetLoad* chooseTarget(const std::vector<const TargetLoad*>& loads, const PlacementRequest& request, const std::string& ownDomain, Millis now, size_t nodes, const Random& random)
{
    std::vector<const TargetLoad*> free;
    std::copy_if(loads.begin(), loads.end(), std::back_inserter(free), [&](const TargetLoad* load) { return canAccept(*load, request, now); });
    if (free.empty())
        return nullptr;
    const TargetLoad* best = nullptr;
    double bestCost = 0;
    const size_t samples = std::min(free.size(), sampleSize(free.size(), nodes, free.front()->target.promptMs(request.promptTokens)));
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
