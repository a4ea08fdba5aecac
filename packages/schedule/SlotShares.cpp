#include "schedule/SlotShares.h"

#include <algorithm>

namespace hemlockweir {

// Fraction of the slots kept free for the most urgent priority while it is in use.
static constexpr double headroomFraction = 0.15;

static double countRunning(const Pool& pool)
{
    double running = 0;
    for (const auto& [rank, state] : pool.ranks)
        running += state.running;
    return running;
}

double reservedForLessUrgent(const Pool& pool, uint32_t rank)
{
    double reserved = 0;
    for (const auto& [other, state] : pool.ranks) {
        if (other > rank && state.queue.size() > 0)
            reserved += state.floorShare;
    }
    return reserved;
}

// Returns the number of slots kept free for the most urgent priority; 0 if it was not used recently.
static double headroom(const Pool& pool, Millis now)
{
    constexpr double minRecentGrants = 0.1;
    const auto urgent = pool.ranks.find(0);
    const bool isNeeded = urgent != pool.ranks.end() && (urgent->second.running > 0 || urgent->second.recentGrants.at(now) > minRecentGrants);
    return isNeeded ? std::max(1.0, headroomFraction * pool.chooser.capacity()) : 0;
}

bool isBelowFloor(const Pool& pool, uint32_t rank)
{
    const RankState& state = pool.ranks.at(rank);
    return state.running < state.floorShare * pool.chooser.capacity();
}

// Returns the most slots that the most urgent priority may use.
static double urgentLimit(const Pool& pool, Millis now)
{
    // A short burst may use the floors of other priorities as well and queue briefly in the engines. Sustained load
    // may not.
    constexpr double burstFraction = 0.35;
    constexpr double floodThreshold = 0.6;
    const double capacity = pool.chooser.capacity();
    const double limit = capacity * (1 - reservedForLessUrgent(pool, 0));
    const double recentUse = pool.ranks.at(0).recentGrants.ratePerMs(now) * pool.chooser.holdMs();
    return recentUse < floodThreshold * limit ? limit + burstFraction * capacity : limit;
}

bool mayAcquireSlot(const Pool& pool, uint32_t rank, Millis now)
{
    const double capacity = pool.chooser.capacity();
    if (isBelowFloor(pool, rank))
        return true;
    if (rank == 0)
        return pool.ranks.at(0).running + 1 <= std::max(1.0, urgentLimit(pool, now));
    const double available = capacity - headroom(pool, now);
    // Even a node with a capacity below one slot may run one job at a time.
    return countRunning(pool) < std::max(1.0, available);
}

IdleSlots findIdleSlots(const Pool& pool, Millis now)
{
    const double idle = std::max(0.0, pool.chooser.capacity() - countRunning(pool));
    const bool hasWork = std::any_of(pool.ranks.begin(), pool.ranks.end(), [](const auto& entry) { return entry.second.queue.size() > 0; });
    if (!hasWork)
        return { .notAsked = idle };
    const double headroomSlots = std::min(idle, headroom(pool, now));
    return { .keptForUrgent = headroomSlots, .notFound = idle - headroomSlots };
}

} // namespace hemlockweir
