#include "fleet/DomainView.h"

#include <algorithm>

namespace hemlockweir {

static bool isFresh(const InstanceView& view, Millis now, Millis freshness)
{
    return view.status && now - view.seenAt <= freshness;
}

static bool leads(const InstanceView& view)
{
    return !view.status->members.empty() && view.status->members.front() == view.instance.id;
}

static std::optional<AgreedGroup> findAgreedGroup(const InstanceView& leader, const DomainView& view, Millis now, Millis freshness)
{
    const InstanceStatus& claim = *leader.status;
    AgreedGroup group { .leader = &leader, .members = {}, .hasRequests = claim.running + claim.waiting > 0 };
    if (std::set(claim.members.begin(), claim.members.end()).size() != claim.members.size())
        return std::nullopt;
    for (const std::string& id : claim.members) {
        const auto found = view.byId.find(id);
        if (found == view.byId.end() || !isFresh(*found->second, now, freshness))
            return std::nullopt;
        const InstanceView& member = *found->second;
        if (!member.status->isInGroupOf(claim) || member.status->state == EngineState::Broken)
            return std::nullopt;
        group.isLoading = group.isLoading || member.status->state == EngineState::Loading;
        group.isLeaving = group.isLeaving || member.isLeaving();
        group.members.push_back(&member);
    }
    return group;
}

DomainView makeDomainView(const std::string& domain, const std::vector<InstanceView>& instances, Millis now, Millis freshness)
{
    DomainView view;
    for (const InstanceView& instance : instances) {
        if (instance.instance.domain == domain)
            view.byId[instance.instance.id] = &instance;
    }
    std::set<std::string> grouped;
    for (const auto& [id, instance] : view.byId) {
        if (!isFresh(*instance, now, freshness)) {
            view.silent.push_back(instance);
            continue;
        }
        if (!leads(*instance))
            continue;
        const std::optional<AgreedGroup> group = findAgreedGroup(*instance, view, now, freshness);
        if (!group)
            continue;
        view.groups.push_back(*group);
        grouped.insert(group->claim().members.begin(), group->claim().members.end());
    }
    for (const auto& [id, instance] : view.byId) {
        if (isFresh(*instance, now, freshness) && !grouped.contains(id))
            view.loose.push_back(instance);
    }
    return view;
}

bool isHopeless(const InstanceView& instance, const DomainView& view, Millis now, Millis freshness)
{
    const InstanceStatus& claim = *instance.status;
    if (std::find(claim.members.begin(), claim.members.end(), instance.instance.id) == claim.members.end())
        return true;
    return std::any_of(claim.members.begin(), claim.members.end(), [&](const std::string& id) {
        const auto found = view.byId.find(id);
        return found == view.byId.end() || (isFresh(*found->second, now, freshness) && !found->second->status->isInGroupOf(claim));
    });
}

} // namespace hemlockweir
