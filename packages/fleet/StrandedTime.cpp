#include "fleet/StrandedTime.h"

#include <algorithm>

namespace hemlockweir {

void StrandedTime::observe(const Snapshot& snapshot)
{
    std::lock_guard lock(mutex_);
    const std::optional<Millis> last = std::exchange(lastObservedAt_, snapshot.now);
    if (!last)
        return;
    const Millis elapsed = snapshot.now - *last;
    if (elapsed > snapshot.freshness) {
        totals_.unobservedMs += static_cast<uint64_t>(elapsed.count());
        return;
    }
    const DomainView view = makeDomainView(snapshot.domain, snapshot.instances, snapshot.now, snapshot.freshness);
    const auto elapsedMs = static_cast<uint64_t>(elapsed.count());
    addGroups(snapshot, view, elapsedMs);
    addUnassigned(snapshot, view, elapsedMs);
    for (const InstanceView* instance : view.unresponsive)
        totals_.notReportingMs += snapshot.pools.contains(instance->instance.pool) ? elapsedMs : 0;
}

void StrandedTime::addGroups(const Snapshot& snapshot, const DomainView& view, uint64_t elapsedMs)
{
    for (const AgreedGroup& group : view.groups) {
        if (!snapshot.pools.contains(group.leader->instance.pool))
            continue;
        uint64_t& total = group.isLeaving ? totals_.leavingMs : group.isLoading ? totals_.loadingMs
                                                                                : totals_.servingMs;
        total += group.members.size() * elapsedMs;
    }
}

void StrandedTime::addUnassigned(const Snapshot& snapshot, const DomainView& view, uint64_t elapsedMs)
{
    std::set<std::string> down;
    for (const InstanceView* instance : view.unassigned) {
        if (!snapshot.pools.contains(instance->instance.pool))
            continue;
        const std::string& group = instance->status->group;
        if (!group.empty())
            down.insert(group);
        if (instance->isLeaving())
            totals_.leavingMs += elapsedMs;
        else if (snapshot.isCutOff)
            totals_.cutOffMs += elapsedMs;
        else if (!group.empty())
            totals_.missingMemberMs += elapsedMs;
        else
            totals_.noPartnerMs += elapsedMs;
    }
    totals_.groupDownMs += down.size() * elapsedMs;
}

void StrandedTime::suspend()
{
    std::lock_guard lock(mutex_);
    lastObservedAt_.reset();
}

StrandedTotals StrandedTime::totals() const
{
    std::lock_guard lock(mutex_);
    return totals_;
}

} // namespace hemlockweir
