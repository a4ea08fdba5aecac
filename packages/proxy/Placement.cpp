#include "proxy/Placement.h"

#include "base/StableHash.h"

#include <algorithm>
#include <cmath>

namespace hemlockweir {

// A target in another failure domain must be better by this part of a pass to be taken.
static constexpr double domainAdvantage = 0.05;
// Passes that a stream's pause keeps free of prompts: the one under way and the one that is next.
static constexpr double passesInGap = 2;

// The part of a target's places for requests that are late already, or less urgent than others. The rest
// stays free for the next that is neither: in an overload it comes within milliseconds, and a place is held
// for a second.
static constexpr double latePart = 0.85;
// The part of the room for prompts for requests that are less urgent than others.
static constexpr double yieldingPart = 0.5;

double TargetLoad::promptWait(Millis now) const
{
    const auto time = static_cast<double>(now.count());
    return std::max(0.0, promptsReadAt - time) + std::max(0.0, othersPromptsReadAt - time);
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
static bool hasPromptRoom(const TargetLoad& load, const Ticket& ticket, Millis now)
{
    const double wait = load.promptWait(now);
    if (wait <= 0 || ticket.gapTarget.count() <= 0)
        return true;
    const double room = (static_cast<double>(ticket.gapTarget.count()) - passesInGap * load.target.passMs) * (ticket.yields ? yieldingPart : 1);
    return wait + load.target.promptMs(ticket.promptTokens) <= room;
}

// Whether a target can take one more request of the ticket.
static bool isFreeFor(const TargetLoad& load, const Ticket& ticket, Millis now)
{
    if (load.suspectUntil > now || ticket.avoid.count(load.target.id) > 0)
        return false;
    double slots = std::max<uint32_t>(1, load.target.slots);
    if (ticket.isLate || ticket.yields)
        slots = std::max(1.0, std::floor(slots * latePart));
    // One that failed is tried with a single request before it gets more.
    if (load.failures > 0)
        slots = 1;
    return load.used() + 1 <= slots + 0.5 && hasPromptRoom(load, ticket, now);
}

// What a request loses on a target, ms: a full batch costs it about a pass more than an empty one.
static double costOf(const TargetLoad& load, const std::string& ownDomain, Millis now)
{
    const double pass = std::max(1.0, load.target.passMs);
    const double use = load.used() / std::max<uint32_t>(1, load.target.slots) + (load.target.domain == ownDomain ? 0 : domainAdvantage);
    return load.promptWait(now) + use * pass;
}

const TargetLoad* chooseTarget(const std::vector<const TargetLoad*>& loads, const Ticket& ticket, const std::string& ownDomain, Millis now, size_t nodes, const Random& random)
{
    std::vector<const TargetLoad*> free;
    std::copy_if(loads.begin(), loads.end(), std::back_inserter(free), [&](const TargetLoad* load) { return isFreeFor(*load, ticket, now); });
    if (free.empty())
        return nullptr;
    const TargetLoad* best = nullptr;
    double bestCost = 0;
    const size_t samples = std::min(free.size(), sampleSize(free.size(), nodes, free.front()->target.promptMs(ticket.promptTokens)));
    for (size_t i = 0; i < samples; ++i) {
        std::swap(free[i], free[i + random() % (free.size() - i)]);
        const double cost = costOf(*free[i], ownDomain, now);
        if (!best || cost < bestCost) {
            best = free[i];
            bestCost = cost;
        }
    }
    return best;
}

} // namespace hemlockweir
