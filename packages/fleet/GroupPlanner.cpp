#include "fleet/GroupPlanner.h"

#include <algorithm>
#include <tuple>

namespace hemlockweir {

GroupPlanner::GroupPlanner(PlannerOptions options)
    : options_(std::move(options))
    , stragglers_(options_.stragglers)
{
}

void GroupPlanner::reset()
{
    pending_.clear();
    drainingSince_.clear();
}

bool GroupPlanner::isPending(const std::string& instance) const
{
    return std::any_of(pending_.begin(), pending_.end(), [&](const Pending& pending) {
        return std::find(pending.instances.begin(), pending.instances.end(), instance) != pending.instances.end();
    });
}

bool GroupPlanner::isStraggler(const InstanceView& view, const Step& step) const
{
    return stragglers_.isStraggler(view.instance.id, step.input.now);
}

void GroupPlanner::prunePending(const Step& step)
{
    pending_.remove_if([&](const Pending& pending) {
        const bool isApplied = std::all_of(pending.instances.begin(), pending.instances.end(), [&](const std::string& id) {
            const auto found = step.view.byId.find(id);
            return found != step.view.byId.end() && found->second->status && found->second->status->epoch >= pending.epoch;
        });
        return isApplied || step.input.now - pending.orderedAt > options_.orderTimeout;
    });
}

void GroupPlanner::countReplicas(Step& step) const
{
    for (const AgreedGroup& group : step.view.groups) {
        step.replicas[group.report().model] += group.isLeaving ? 0 : 1;
        step.loading += group.isLoading;
    }
    for (const Pending& pending : pending_) {
        if (pending.kind != OrderKind::Join)
            continue;
        ++step.replicas[pending.model];
        ++step.loading;
    }
}

// Sorts the available instances by preference. Healthy instances come before stragglers, and idle
// instances before survivors of broken groups, whose missing member may return. Survivors of the
// same group are adjacent, largest group first, so that as few broken groups as possible are
// dissolved.
void GroupPlanner::collectFree(Step& step) const
{
    std::map<std::string, int> survivors; // by group
    for (const InstanceView* view : step.view.unassigned)
        ++survivors[view->status->group];
    for (const InstanceView* view : step.view.unassigned) {
        if (!view->isLeaving() && !isPending(view->instance.id))
            step.free[view->instance.fabric].push_back(view);
    }
    auto preference = [&](const InstanceView* view) {
        const InstanceStatus& status = *view->status;
        return std::tuple(isStraggler(*view, step), !status.group.empty(), -survivors[status.group], status.group, view->instance.id);
    };
    for (auto& [fabric, views] : step.free)
        std::sort(views.begin(), views.end(), [&](const auto* a, const auto* b) { return preference(a) < preference(b); });
}

void GroupPlanner::join(Step& step, const std::string& model, const Members& members)
{
    Order order { .kind = OrderKind::Join, .instance = {}, .address = {}, .group = {}, .epoch = options_.nextEpoch(), .model = model, .members = {}, .memberAddresses = {} };
    order.group = step.input.domain + "-" + std::to_string(order.epoch);
    for (const InstanceView* member : members) {
        order.members.push_back(member->instance.id);
        order.memberAddresses.push_back(member->instance.address);
    }
    for (const InstanceView* member : members) {
        order.instance = member->instance.id;
        order.address = member->instance.address;
        step.orders.push_back(order);
    }
    pending_.push_back({ .kind = OrderKind::Join, .instances = order.members, .model = model, .epoch = order.epoch, .orderedAt = step.input.now });
    ++step.replicas[model];
    ++step.loading;
}

void GroupPlanner::release(Step& step, const InstanceView& view)
{
    const Instance& instance = view.instance;
    const uint64_t epoch = options_.nextEpoch();
    step.orders.push_back({ .kind = OrderKind::Release, .instance = instance.id, .address = instance.address, .group = view.status->group, .epoch = epoch, .model = {}, .members = {}, .memberAddresses = {} });
    pending_.push_back({ .kind = OrderKind::Release, .instances = { instance.id }, .model = {}, .epoch = epoch, .orderedAt = step.input.now });
}

// Nodes send no new requests to a leaving group. Its members are released when its requests have
// finished or the drain times out.
void GroupPlanner::drainLeaving(Step& step)
{
    std::map<std::string, Millis> drainingSince;
    for (const AgreedGroup& group : step.view.groups) {
        if (!group.isLeaving)
            continue;
        const auto known = drainingSince_.find(group.report().group);
        const Millis since = known == drainingSince_.end() ? step.input.now : known->second;
        drainingSince[group.report().group] = since;
        const Millis elapsed = step.input.now - since;
        const bool isDrained = elapsed >= options_.drainSettleTime && !group.hasRequests;
        if (!isDrained && elapsed < options_.drainTimeout)
            continue;
        for (const InstanceView* member : group.members) {
            if (!isPending(member->instance.id))
                release(step, *member);
        }
    }
    drainingSince_ = std::move(drainingSince);
}

// Models below their required number of replicas come first, starting with the one that has the
// smallest fraction of it. Models without a required number share the rest, weighted by demand.
const Model* GroupPlanner::chooseModel(const Step& step, const std::set<std::string>& excluded) const
{
    const Model* best = nullptr;
    std::pair<int, double> bestKey;
    for (const Model& model : step.input.models) {
        const auto found = step.replicas.find(model.name);
        const uint32_t replicas = found == step.replicas.end() ? 0 : found->second;
        const bool isSatisfied = model.replicas > 0 && replicas >= model.replicas;
        const double demand = options_.demand ? options_.demand(model) : 1.0;
        if (isSatisfied || excluded.contains(model.name) || demand <= 0)
            continue;
        const std::pair<int, double> key = model.replicas > 0 ? std::pair(0, static_cast<double>(replicas) / model.replicas) : std::pair(1, (replicas + 1) / demand);
        if (!best || key < bestKey) {
            best = &model;
            bestKey = key;
        }
    }
    return best;
}

// Selects the members from the fabric domain with the fewest available instances that still
// suffice. Its leftover instances are the ones least likely to be enough for another group.
GroupPlanner::Members GroupPlanner::selectMembers(Step& step, const Model& model) const
{
    auto inPool = [&](const InstanceView* view) { return view->instance.pool == model.pool; };
    Members* best = nullptr;
    int64_t fewest = 0;
    for (auto& [fabric, views] : step.free) {
        const int64_t count = std::count_if(views.begin(), views.end(), inPool);
        if (count < model.members || (best && fewest <= count))
            continue;
        best = &views;
        fewest = count;
    }
    Members members;
    if (!best)
        return members;
    for (const InstanceView* view : *best) {
        if (inPool(view) && members.size() < model.members)
            members.push_back(view);
    }
    std::erase_if(*best, [&](const InstanceView* view) { return std::find(members.begin(), members.end(), view) != members.end(); });
    return members;
}

void GroupPlanner::formGroups(Step& step)
{
    std::set<std::string> excluded; // models for which no fabric domain has enough instances
    while (step.loading < options_.maxLoadingGroups) {
        const Model* model = chooseModel(step, excluded);
        if (!model)
            return;
        const Members members = selectMembers(step, *model);
        if (members.empty())
            excluded.insert(model->name);
        else
            join(step, model->name, members);
    }
}

bool GroupPlanner::replaceMember(Step& step, const AgreedGroup& group, const InstanceView& straggler)
{
    Members& spares = step.free[straggler.instance.fabric];
    const auto spare = std::find_if(spares.begin(), spares.end(), [&](const InstanceView* view) {
        return view->instance.pool == straggler.instance.pool && view->status->state == EngineState::Idle && !isStraggler(*view, step);
    });
    if (spare == spares.end())
        return false;
    Members members = group.members;
    std::replace(members.begin(), members.end(), &straggler, *spare);
    spares.erase(spare);
    join(step, group.report().model, members);
    release(step, straggler);
    return true;
}

// Replaces one straggler at a time, because a replacement aborts the group's requests, which then
// continue on other groups.
void GroupPlanner::replaceStraggler(Step& step)
{
    if (!pending_.empty() || step.loading > 0)
        return;
    for (const AgreedGroup& group : step.view.groups) {
        if (group.isLeaving)
            continue;
        for (const InstanceView* member : group.members) {
            if (isStraggler(*member, step) && replaceMember(step, group, *member))
                return;
        }
    }
}

// Releases survivors of groups that can't become whole again, and those that are leaving. Other
// survivors keep their group while no model needs them, since its missing member may return.
void GroupPlanner::releaseUnrecoverable(Step& step)
{
    for (const InstanceView* view : step.view.unassigned) {
        if (view->status->group.empty() || isPending(view->instance.id))
            continue;
        if (view->isLeaving() || isUnrecoverable(*view, step.view, step.input.now, step.input.freshness))
            release(step, *view);
    }
}

std::vector<Order> GroupPlanner::plan(const PlanInput& input)
{
    Step step { .input = input, .view = makeDomainView(input.domain, input.instances, input.now, input.freshness) };
    stragglers_.observe(input.domain, input.instances, input.now);
    prunePending(step);
    countReplicas(step);
    collectFree(step);
    drainLeaving(step);
    formGroups(step);
    replaceStraggler(step);
    releaseUnrecoverable(step);
    return step.orders;
}

} // namespace hemlockweir
