#include "schedule/Admission.h"

#include "schedule/SlotShares.h"

#include <algorithm>

namespace hemlockweir {

// What starts at once is not refused by a measurement: only by running does the pool show that it
// is fast again.
static bool startsImmediately(const Job& job, const Pool& pool, Millis now)
{
    return pool.ranks.at(job.rank).queue.size() == 0 && mayAcquireSlot(pool, job.rank, now);
}

static double firstTokenMs(const Job& job, const Pool& pool)
{
    return pool.ranks.at(job.rank).firstTokenMs.upperOr(pool.chooser.firstTokenMs());
}

double expectedWaitMs(const Job& job, const Pool& pool, Millis now)
{
    const double holdMs = pool.chooser.holdMs();
    const RankState& rank = pool.ranks.at(job.rank);
    if (holdMs <= 0 || startsImmediately(job, pool, now))
        return 0;
    const double slotsPerMs = pool.chooser.capacity() / holdMs;
    double remainingPerMs = slotsPerMs * (1 - reservedForLessUrgent(pool, job.rank));
    double urgentAhead = 0;
    for (const auto& [other, state] : pool.ranks) {
        if (other >= job.rank)
            break;
        remainingPerMs -= state.recentGrants.ratePerMs(now);
        urgentAhead += static_cast<double>(state.queue.size());
    }
    const double turns = rank.queue.jobsAhead(job.caller, job.weight, job.cost, now) + 1;
    // What more urgent work leaves, or the floor, whichever is sooner.
    constexpr double minFraction = 0.01;
    const double waitAfterUrgent = (turns + urgentAhead) / std::max(remainingPerMs, minFraction * slotsPerMs);
    const double waitByFloor = turns / (std::max(rank.floorShare, minFraction) * slotsPerMs);
    return std::min(waitAfterUrgent, waitByFloor);
}

// A caller below its share is next in turn: the time to the first token, which others' load made
// long, is not held against it while its own wait is short.
static bool isNearFront(const Job& job, const Pool& pool, double waitMs, double remainingMs, Millis now)
{
    constexpr double shortWaitFraction = 0.5;
    const FairQueue& queue = pool.ranks.at(job.rank).queue;
    return waitMs <= shortWaitFraction * remainingMs && queue.sizeOf(job.caller) == 0 && queue.isBelowMeanUse(job.caller, now);
}

bool canMeetTarget(const Job& job, const Pool& pool, Millis now)
{
    if (startsImmediately(job, pool, now))
        return true;
    const double waitMs = expectedWaitMs(job, pool, now);
    const auto remainingMs = static_cast<double>((job.dueAt() - now).count());
    return waitMs + firstTokenMs(job, pool) <= remainingMs || isNearFront(job, pool, waitMs, remainingMs, now);
}

bool isTooLate(const Job& job, const Pool& pool, Millis now)
{
    const Millis latestGrant = job.dueAt() - Millis(static_cast<int64_t>(firstTokenMs(job, pool)));
    const bool hasStarted = !job.avoidGroups.empty() || job.preemptions > 0;
    return now > latestGrant && !hasStarted && static_cast<double>(pool.ranks.at(job.rank).queue.size()) > pool.chooser.capacity() / 4;
}

} // namespace hemlockweir
