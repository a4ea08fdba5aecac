#include "fleet/StrandedTime.h"

#include <algorithm>

namespace hemlockweir {

void StrandedTime::observe(const Look& look)
{
    std::lock_guard lock(mutex_);
    const std::optional<Millis> last = std::exchange(lastAt_, look.now);
    if (!last)
        return;
    const Millis elapsed = look.now - *last;
    if (elapsed > look.freshness) {
        totals_.unobservedMs += static_cast<uint64_t>(elapsed.count());
        return;
    }
    const DomainView view = makeDomainView(look.domain, look.instances, look.now, look.freshness);
    const auto elapsedMs = static_cast<uint64_t>(elapsed.count());
    addGroups(look, view, elapsedMs);
    addLoose(look, view, elapsedMs);
    for (const InstanceView* instance : view.silent)
        totals_.notReportingMs += look.pools.contains(instance->instance.pool) ? elapsedMs : 0;
}

void StrandedTime::addGroups(const Look& look, const DomainView& view, uint64_t elapsedMs)
{
    for (const AgreedGroup& group : view.groups) {
        if (!look.pools.contains(group.leader->instance.pool))
            continue;
        uint64_t& total = group.isLeaving ? totals_.leavingMs : group.isLoading ? totals_.loadingMs
                                                                                : totals_.servingMs;
        total += group.members.size() * elapsedMs;
    }
}

void StrandedTime::addLoose(const Look& look, const DomainView& view, uint64_t elapsedMs)
{
    std::set<std::string> down;
    for (const InstanceView* instance : view.loose) {
        if (!look.pools.contains(instance->instance.pool))
            continue;
        const std::string& group = instance->status->group;
        if (!group.empty())
            down.insert(group);
        if (instance->isLeaving())
            totals_.leavingMs += elapsedMs;
        else if (look.isCutOff)
            totals_.cutOffMs += elapsedMs;
        else if (!group.empty())
            totals_.missingMemberMs += elapsedMs;
        else
            totals_.noPartnerMs += elapsedMs;
    }
    totals_.groupDownMs += down.size() * elapsedMs;
}

void StrandedTime::skip()
{
    std::lock_guard lock(mutex_);
    lastAt_.reset();
}

StrandedTotals StrandedTime::totals() const
{
    std::lock_guard lock(mutex_);
    return totals_;
}

} // namespace hemlockweir
