#include "schedule/Admission.h"

#include "schedule/SlotShares.h"

#include <algorithm>

namespace hemlockweir {

// What starts at once is not refused by a measurement: only by running does the pool show that it
// is fast again.
static bool startsAtOnce(const Job& job, const Pool& pool, Millis now)
{
    return pool.ranks.at(job.rank).queue.size() == 0 && mayTake(pool, job.rank, now);
}

static double firstTokenMs(const Job& job, const Pool& pool)
{
    return pool.ranks.at(job.rank).firstTokenMs.upperOr(pool.chooser.firstTokenMs());
}

double expectedWaitMs(const Job& job, const Pool& pool, Millis now)
{
    const double holdMs = pool.chooser.holdMs();
    const RankState& rank = pool.ranks.at(job.rank);
    if (holdMs <= 0 || startsAtOnce(job, pool, now))
        return 0;
    const double slotsPerMs = pool.chooser.capacity() / holdMs;
    double leftPerMs = slotsPerMs * (1 - reservedBelow(pool, job.rank));
    double urgentAhead = 0;
    for (const auto& [other, state] : pool.ranks) {
        if (other >= job.rank)
            break;
        leftPerMs -= state.granted.ratePerMs(now);
        urgentAhead += static_cast<double>(state.queue.size());
    }
    const double turns = rank.queue.aheadOf(job.caller, job.weight, job.cost, now) + 1;
    // What more urgent work leaves, or the floor, whichever is sooner.
    constexpr double leastShare = 0.01;
    const double afterUrgent = (turns + urgentAhead) / std::max(leftPerMs, leastShare * slotsPerMs);
    const double byFloor = turns / (std::max(rank.floorShare, leastShare) * slotsPerMs);
    return std::min(afterUrgent, byFloor);
}

// A caller below its share is next in turn: the time to the first token, which others' load made
// long, is not held against it while its own wait is short.
static bool isCloseInTurn(const Job& job, const Pool& pool, double waitMs, double leftMs, Millis now)
{
    constexpr double shortWait = 0.5;
    const FairQueue& queue = pool.ranks.at(job.rank).queue;
    return waitMs <= shortWait * leftMs && queue.sizeOf(job.caller) == 0 && queue.isBelowMeanUse(job.caller, now);
}

bool canBeOnTime(const Job& job, const Pool& pool, Millis now)
{
    if (startsAtOnce(job, pool, now))
        return true;
    const double waitMs = expectedWaitMs(job, pool, now);
    const auto leftMs = static_cast<double>((job.dueAt() - now).count());
    return waitMs + firstTokenMs(job, pool) <= leftMs || isCloseInTurn(job, pool, waitMs, leftMs, now);
}

bool isStale(const Job& job, const Pool& pool, Millis now)
{
    const Millis latestGrant = job.dueAt() - Millis(static_cast<int64_t>(firstTokenMs(job, pool)));
    const bool isBegun = !job.avoidGroups.empty() || job.preemptions > 0;
    return now > latestGrant && !isBegun && static_cast<double>(pool.ranks.at(job.rank).queue.size()) > pool.chooser.capacity() / 4;
}

} // namespace hemlockweir
