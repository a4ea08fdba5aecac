#include "schedule/Admission.h"

#include "schedule/SlotShares.h"

#include <algorithm>

namespace hemlockweir {

// Returns whether a job can start without waiting. Such a job is never refused because of slow measurements: only
// running jobs can show that the pool is fast again.
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
    // The job gets a slot that more urgent work leaves free, or one of its priority's floor, whichever is sooner.
    constexpr double minFraction = 0.01;
    const double waitAfterUrgent = (turns + urgentAhead) / std::max(remainingPerMs, minFraction * slotsPerMs);
    const double waitByFloor = turns / (std::max(rank.floorShare, minFraction) * slotsPerMs);
    return std::min(waitAfterUrgent, waitByFloor);
}

// Returns whether a job of a caller with below-mean use will soon be at the front of its queue. Such a job is admitted
// even if the expected time to first token is too long, because the load of other callers is what makes it long.
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
