#include "fleet/DomainView.h"

#include <algorithm>

namespace hemlockweir {

static bool isFresh(const InstanceView& view, Millis now, Millis freshness)
{
    return view.status && now - view.polledAt <= freshness;
}

static bool isLeader(const InstanceView& view)
{
    return !view.status->members.empty() && view.status->members.front() == view.instance.id;
}

static std::optional<AgreedGroup> findAgreedGroup(const InstanceView& leader, const DomainView& view, Millis now, Millis freshness)
{
    const InstanceStatus& report = *leader.status;
    AgreedGroup group { .leader = &leader, .members = {}, .hasRequests = report.running + report.waiting > 0 };
    if (std::set(report.members.begin(), report.members.end()).size() != report.members.size())
        return std::nullopt;
    for (const std::string& id : report.members) {
        const auto found = view.byId.find(id);
        if (found == view.byId.end() || !isFresh(*found->second, now, freshness))
            return std::nullopt;
        const InstanceView& member = *found->second;
        if (!member.status->isInGroupOf(report) || member.status->state == EngineState::Broken)
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
            view.unresponsive.push_back(instance);
            continue;
        }
        if (!isLeader(*instance))
            continue;
        const std::optional<AgreedGroup> group = findAgreedGroup(*instance, view, now, freshness);
        if (!group)
            continue;
        view.groups.push_back(*group);
        grouped.insert(group->report().members.begin(), group->report().members.end());
    }
    for (const auto& [id, instance] : view.byId) {
        if (isFresh(*instance, now, freshness) && !grouped.contains(id))
            view.unassigned.push_back(instance);
    }
    return view;
}

bool isUnrecoverable(const InstanceView& instance, const DomainView& view, Millis now, Millis freshness)
{
    const InstanceStatus& report = *instance.status;
    if (std::find(report.members.begin(), report.members.end(), instance.instance.id) == report.members.end())
        return true;
    return std::any_of(report.members.begin(), report.members.end(), [&](const std::string& id) {
        const auto found = view.byId.find(id);
        return found == view.byId.end() || (isFresh(*found->second, now, freshness) && !found->second->status->isInGroupOf(report));
    });
}

} // namespace hemlockweir
