#include "fleet/GroupPlanner.h"

#include <algorithm>

namespace hemlockweir {

namespace {

    // Finds instances by id within one plan.
    using ViewsById = std::map<std::string, const InstanceView*>;

    bool isFresh(const InstanceView& view, const PlanInput& input)
    {
        return view.status && input.now - view.seenAt <= input.freshness;
    }

    bool isUsable(const InstanceView& view, const PlanInput& input)
    {
        return isFresh(view, input) && !view.instance.leaving && !view.status->leaving;
    }

    ViewsById indexDomain(const PlanInput& input)
    {
        ViewsById views;
        for (const InstanceView& view : input.instances) {
            if (view.instance.domain == input.domain)
                views[view.instance.id] = &view;
        }
        return views;
    }

    // Whether every member reports the group that this member reports.
    bool isAgreed(const InstanceStatus& claim, const ViewsById& views, const PlanInput& input)
    {
        return std::all_of(claim.members.begin(), claim.members.end(), [&](const std::string& id) {
            const auto found = views.find(id);
            if (found == views.end() || !isUsable(*found->second, input))
                return false;
            const InstanceStatus& status = *found->second->status;
            return status.group == claim.group && status.epoch == claim.epoch && status.state != EngineState::Broken;
        });
    }

} // namespace

GroupPlanner::GroupPlanner(std::function<uint64_t()> nextEpoch)
    : nextEpoch_(std::move(nextEpoch))
{
}

void GroupPlanner::reset()
{
    pending_.clear();
}

bool GroupPlanner::isPending(const std::string& instance) const
{
    return std::any_of(pending_.begin(), pending_.end(), [&](const auto& entry) {
        const auto& members = entry.second.order.members;
        return std::find(members.begin(), members.end(), instance) != members.end();
    });
}

void GroupPlanner::settlePending(const PlanInput& input)
{
    const ViewsById views = indexDomain(input);
    std::erase_if(pending_, [&](const auto& entry) {
        const Order& order = entry.second.order;
        const bool timedOut = input.now - entry.second.orderedAt > input.joinTimeout;
        const bool joined = std::all_of(order.members.begin(), order.members.end(), [&](const std::string& id) {
            const auto found = views.find(id);
            return found != views.end() && found->second->status && found->second->status->epoch == order.epoch;
        });
        return timedOut || joined;
    });
}

std::vector<Order> GroupPlanner::releaseBroken(const PlanInput& input)
{
    const ViewsById views = indexDomain(input);
    std::vector<Order> orders;
    for (const auto& [id, view] : views) {
        if (!isFresh(*view, input) || view->status->group.empty() || isPending(id) || isAgreed(*view->status, views, input))
            continue;
        orders.push_back({ .kind = OrderKind::Release, .instance = id, .address = view->instance.address, .group = view->status->group, .epoch = nextEpoch_(), .model = {}, .members = {}, .memberAddresses = {} });
    }
    return orders;
}

std::vector<Order> GroupPlanner::formGroups(const PlanInput& input, const Model& model)
{
    std::map<std::string, std::vector<const InstanceView*>> idleByFabric;
    uint32_t replicas = 0;
    for (const InstanceView& view : input.instances) {
        const Instance& instance = view.instance;
        if (instance.domain != input.domain || instance.pool != model.pool || !isUsable(view, input))
            continue;
        const bool leads = !view.status->members.empty() && view.status->members.front() == instance.id;
        replicas += leads && view.status->model == model.name;
        if (view.status->state == EngineState::Idle && !isPending(instance.id))
            idleByFabric[instance.fabric].push_back(&view);
    }
    for (const auto& [group, pending] : pending_)
        replicas += pending.order.model == model.name;

    std::vector<Order> orders;
    for (auto& [fabric, idle] : idleByFabric) {
        while (idle.size() >= model.members && (model.replicas == 0 || replicas < model.replicas)) {
            Order order { .kind = OrderKind::Join, .instance = {}, .address = {}, .group = {}, .epoch = nextEpoch_(), .model = model.name, .members = {}, .memberAddresses = {} };
            order.group = input.domain + "-" + std::to_string(order.epoch);
            for (uint32_t i = 0; i < model.members; ++i) {
                order.members.push_back(idle.back()->instance.id);
                order.memberAddresses.push_back(idle.back()->instance.address);
                idle.pop_back();
            }
            for (uint32_t i = 0; i < model.members; ++i) {
                order.instance = order.members[i];
                order.address = order.memberAddresses[i];
                orders.push_back(order);
            }
            pending_[order.group] = { .order = order, .orderedAt = input.now };
            ++replicas;
        }
    }
    return orders;
}

std::vector<Order> GroupPlanner::plan(const PlanInput& input)
{
    settlePending(input);
    std::vector<Order> orders = releaseBroken(input);
    for (const Model& model : input.models) {
        const std::vector<Order> formed = formGroups(input, model);
        orders.insert(orders.end(), formed.begin(), formed.end());
    }
    return orders;
}

} // namespace hemlockweir
