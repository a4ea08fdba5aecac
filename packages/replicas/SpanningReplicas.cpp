#include "replicas/ReplicaPlanner.h"

#include <algorithm>

// The part of ReplicaPlanner that puts left-over engines to use: a fabric domain rarely divides into whole replicas, and
// losses leave fragments. Together with those of other fabric domains they form replicas, which are slower by
// EngineProfile::spanningTimeFactor.

namespace hemlockweir {

// Returns the engines within one fabric domain that would do the work of this replica.
double ReplicaPlanner::effectiveEngines(const ReplicaPlan& plan, const ReplicaModel& model) const
{
    const auto size = static_cast<double>(model.size);
    return plan.isSpanning && profile_.spanningTimeFactor > 1 ? size / profile_.spanningTimeFactor : size;
}

// Returns whether an engine that is free or in a spanning replica can serve the model without losing a copy that makes it
// warm for another one.
bool ReplicaPlanner::keepsCopies(const Engine& engine, const std::string& model) const
{
    return isWarm(engine, model) && (engine.lastModel.empty() || engine.lastModel == model || hasCopy(engine, engine.lastModel));
}

// Returns whether the engine is in a spanning replica, and could be used in one within its fabric domain.
bool ReplicaPlanner::isReclaimable(const Engine& engine) const
{
    const auto plan = engine.info.membership ? plans_.find(engine.info.membership->group) : plans_.end();
    return plan != plans_.end() && plan->second.isSpanning && !engine.isDead && !engine.isUnlisted && !engine.info.isLeaving;
}

// Forms replicas of the engines that stay free in their fabric domains.
void ReplicaPlanner::formSpanningReplicas(std::map<std::string, FreeEngines>& freeByDomain, std::vector<EngineOrder>& orders)
{
    if (profile_.spanningTimeFactor <= 1)
        return;
    const Millis now = options_.clock();
    for (auto& entry : freeByDomain) {
        FreeEngines& free = entry.second;
        std::erase_if(free, [&](const Engine* engine) { return now - engine->freeSince < options_.leftOverTime; });
        bool hasFormed = true;
        while (hasFormed) {
            const std::vector<const ReplicaModel*> models = modelsByNeed();
            hasFormed = std::any_of(models.begin(), models.end(), [&](const ReplicaModel* model) { return formSpanningReplica(*model, free, orders); });
        }
    }
}

// Forms one spanning replica of the model from the free engines of a failure domain. Returns false if there are too few.
bool ReplicaPlanner::formSpanningReplica(const ReplicaModel& model, FreeEngines& free, std::vector<EngineOrder>& orders)
{
    const auto isSuitable = [&](const Engine* engine) { return keepsCopies(*engine, model.name); };
    FreeEngines members;
    std::copy_if(free.begin(), free.end(), std::back_inserter(members), isSuitable);
    if (members.size() < model.size)
        return false;
    // Those of one fabric domain stay together: a reclaimed member then breaks up fewer replicas.
    members.resize(model.size);
    std::erase_if(free, [&](const Engine* engine) { return std::find(members.begin(), members.end(), engine) != members.end(); });
    chooseHead(members);
    createReplica(members.front()->info.fabric, model, members, orders);
    return true;
}

// Breaks up the spanning replicas whose members a fabric domain lacks for a replica of its own, which is always worth more
// than their part in slower ones. Returns false if there are too few such members.
bool ReplicaPlanner::reclaimMembers(const ReplicaModel& model, const std::string& fabric, size_t required, std::vector<EngineOrder>& orders)
{
    std::map<std::string, size_t> membersByGroup; // usable members by spanning replica
    for (const Engine* engine : domains_.at(fabric).engines) {
        if (isReclaimable(*engine) && isWarm(*engine, model.name))
            ++membersByGroup[engine->info.membership->group];
    }
    std::vector<std::pair<size_t, std::string>> groups;
    groups.reserve(membersByGroup.size());
    for (const auto& [group, members] : membersByGroup)
        groups.emplace_back(members, group);
    std::sort(groups.rbegin(), groups.rend());
    size_t found = 0;
    std::set<std::string> chosen;
    for (const auto& [members, group] : groups) {
        if (found >= required)
            break;
        found += members;
        chosen.insert(group);
    }
    if (found < required)
        return false;
    for (const ReplicaView& replica : findReplicas()) {
        if (chosen.count(replica.group) == 0)
            continue;
        plans_.at(replica.group).isReclaimed = true;
        dissolveReplica(replica, orders);
    }
    return true;
}

} // namespace hemlockweir
