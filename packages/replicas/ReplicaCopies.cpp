#include "replicas/ReplicaPlanner.h"

#include <algorithm>

// The planner's part that keeps copies of models on hosts: which are loaded ahead, and which members of
// smaller replicas stand in for lost ones of larger replicas.

namespace hemlockweir {

// Whether the giver's model has more engines for its part of the work than the taker's.
bool ReplicaPlanner::mayGive(const ReplicaModel& giver, const ReplicaModel& taker) const
{
    const auto relative = [this](const ReplicaModel& model) { return enginesFor(model.name) / std::max(0.01, model.workShare); };
    return giver.size < taker.size && relative(giver) > relative(taker);
}

// Hosts that hold a copy of the model while their engines serve in replicas of another.
std::vector<const ReplicaPlanner::Engine*> ReplicaPlanner::findSpares(const ReplicaModel& model, const std::string& fabric) const
{
    std::vector<const Engine*> spares;
    for (const auto& [id, engine] : engines_) {
        const ReplicaModel* serves = modelOf(engine);
        if (engine.info.fabric == fabric && serves && serves->size < model.size && isServing(engine) && hasCopy(engine, model.name))
            spares.push_back(&engine);
    }
    // Two of one replica cost one replica.
    std::stable_sort(spares.begin(), spares.end(), [](const Engine* one, const Engine* other) { return one->info.membership->group < other->info.membership->group; });
    return spares;
}

// Frees members of smaller replicas that are to take the places of lost members of a larger one.
void ReplicaPlanner::takeSpares(const std::string& fabric, const FreeEngines& free, std::vector<EngineOrder>& orders)
{
    for (const ReplicaModel* model : modelsByNeed()) {
        const auto warm = static_cast<size_t>(std::count_if(free.begin(), free.end(), [&](const Engine* engine) { return isWarm(*engine, model->name); }));
        // Only what a loss left behind is completed: half a replica at least stands idle.
        if (2 * warm < model->size || warm >= model->size)
            continue;
        const std::vector<const Engine*> spares = findSpares(*model, fabric);
        const size_t wanted = model->size - warm;
        const bool isUnderWay = std::any_of(spares.begin(), spares.end(), [this](const Engine* spare) { return plans_.at(spare->info.membership->group).closedAt != never; });
        if (isUnderWay)
            return;
        if (spares.size() < wanted || !mayGive(*modelOf(*spares.front()), *model))
            continue;
        std::set<std::string> groups;
        for (size_t i = 0; i < wanted; ++i)
            groups.insert(spares[i]->info.membership->group);
        for (const ReplicaView& replica : findReplicas()) {
            if (groups.count(replica.group) > 0)
                release(replica, orders);
        }
        return;
    }
}

bool ReplicaPlanner::isLarge(const ReplicaModel& model) const
{
    return std::any_of(profile_.models.begin(), profile_.models.end(), [&](const ReplicaModel& other) { return other.size < model.size; });
}

std::set<std::string> ReplicaPlanner::fabrics() const
{
    std::set<std::string> fabrics;
    for (const auto& [id, engine] : engines_) {
        if (!engine.info.fabric.empty())
            fabrics.insert(engine.info.fabric);
    }
    return fabrics;
}

// Loads copies ahead while the weight store has room: for the model that needs it most, and of that what
// is worth most a load first.
void ReplicaPlanner::stageCopies(std::vector<EngineOrder>& orders)
{
    if (isFirstFormation())
        return;
    const std::set<std::string> all = fabrics();
    for (const ReplicaModel* model : modelsByNeed()) {
        for (const CopyUse use : { CopyUse::LastOfReplica, CopyUse::FirstSpare, CopyUse::NewReplica, CopyUse::MoreSpares }) {
            for (const std::string& fabric : all) {
                while (stageFor(*model, fabric, use, orders)) { }
            }
        }
    }
}

// The spares of a large model, which are as good as engines of it; at first those that will be.
double ReplicaPlanner::countSpares(const ReplicaModel& model) const
{
    if (!isLarge(model))
        return 0;
    double spares = 0;
    for (const std::string& fabric : fabrics()) {
        const CopyCount count = countCopies(model, fabric);
        const size_t there = hasTraffic_ ? count.idle % model.size + count.serving : options_.sparesWanted;
        spares += static_cast<double>(std::min(there, options_.sparesWanted));
    }
    return spares;
}

// What copies of a model stand or are on their way in a fabric domain, beside its replicas.
ReplicaPlanner::CopyCount ReplicaPlanner::countCopies(const ReplicaModel& model, const std::string& fabric) const
{
    CopyCount count;
    for (const auto& [id, engine] : engines_) {
        if (engine.info.fabric != fabric || engine.isDead || engine.info.isLeaving || modelOf(engine) == &model)
            continue;
        const bool isReady = isWarm(engine, model.name) || engine.staging == model.name;
        const bool isIdle = !engine.info.membership;
        if (isReady && isIdle)
            ++count.idle;
        else if (isReady && isServing(engine))
            ++count.serving;
        else if (isIdle && engine.staging.empty())
            ++count.cold;
    }
    return count;
}

bool ReplicaPlanner::isWanted(const ReplicaModel& model, const CopyCount& count, CopyUse use) const
{
    const size_t spares = count.idle + count.serving;
    const size_t missing = model.size - count.idle % model.size;
    switch (use) {
    case CopyUse::LastOfReplica:
        return missing == 1 && count.cold > 0;
    case CopyUse::FirstSpare:
        return isLarge(model) && spares == 0;
    case CopyUse::NewReplica:
        return missing <= count.cold;
    case CopyUse::MoreSpares:
        return isLarge(model) && spares < options_.sparesWanted;
    }
    return false;
}

// Loads one copy of the model in a fabric domain if one is wanted there and a host can take it.
bool ReplicaPlanner::stageFor(const ReplicaModel& model, const std::string& fabric, CopyUse use, std::vector<EngineOrder>& orders)
{
    if (hasTraffic_ && countLoads() >= profile_.loadsAtOnce)
        return false;
    if (!isWanted(model, countCopies(model, fabric), use))
        return false;
    const Engine* host = findHost(model, fabric);
    const bool isSpare = use == CopyUse::FirstSpare || use == CopyUse::MoreSpares;
    if (!host || (!isSpare && host->info.membership))
        return false;
    Engine& engine = engines_.at(host->info.id);
    engine.staging = model.name;
    engine.stagingSince = options_.clock();
    EngineOrder order = makeOrder(EngineOrderKind::Stage, engine, {}, 0);
    order.model = model.name;
    orders.push_back(std::move(order));
    return true;
}

// The host that loses least by a copy of the model: an idle one without a use, else a member of a
// smaller replica, beside another such host if there is one.
const ReplicaPlanner::Engine* ReplicaPlanner::findHost(const ReplicaModel& model, const std::string& fabric) const
{
    const Engine* best = nullptr;
    int bestCost = 0;
    std::set<std::string> groupsWithSpare;
    for (const Engine* spare : findSpares(model, fabric))
        groupsWithSpare.insert(spare->info.membership->group);
    for (const auto& [id, engine] : engines_) {
        if (!engine.staging.empty() && engine.info.membership)
            groupsWithSpare.insert(engine.info.membership->group);
    }
    for (const auto& [id, engine] : engines_) {
        if (engine.info.fabric != fabric || engine.isDead || engine.info.isLeaving || !engine.staging.empty() || isWarm(engine, model.name))
            continue;
        if (options_.clock() - engine.stageRefusedAt < options_.orderTimeout)
            continue;
        const ReplicaModel* serves = modelOf(engine);
        if (engine.info.membership && (!isServing(engine) || !serves || serves->size >= model.size))
            continue;
        const ReplicaModel* last = profile_.findModel(engine.lastModel);
        if (!engine.info.membership && last && last->size > model.size)
            continue;
        int cost = 0;
        if (engine.info.membership)
            cost = groupsWithSpare.count(engine.info.membership->group) > 0 ? 2 : 3;
        else if (!engine.info.staged.empty())
            cost = 1;
        if (!best || cost < bestCost) {
            best = &engine;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace hemlockweir
