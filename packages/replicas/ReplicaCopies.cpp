#include "replicas/ReplicaPlanner.h"

#include <algorithm>

// The planner's part that keeps copies of models on hosts: which are loaded ahead, and which members of
// smaller replicas stand in for lost ones of larger replicas.

namespace hemlockweir {

// The part of the loads at once that any copy may take.
static constexpr double partForAll = 0.75;
// Engines that a copy must bring into service to take one of the others: it completes a replica.
static constexpr double leastUrgentCopy = 2;

// Whether members of the giver's replicas may complete a replica of the taker: a few of them bring a whole
// replica back, so the taker may have more engines for its part of the work by as much.
bool ReplicaPlanner::mayGive(const ReplicaModel& giver, const ReplicaModel& taker, size_t wanted) const
{
    const auto relative = [this](const ReplicaModel& model) { return enginesFor(model.name) / std::max(0.01, model.workFraction); };
    const auto gain = static_cast<double>(taker.size) / static_cast<double>(wanted * giver.size);
    return giver.size < taker.size && gain > 1 && relative(giver) * gain > relative(taker);
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
        if (spares.size() < wanted || !mayGive(*modelOf(*spares.front()), *model, wanted))
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

// Loads copies ahead while the weight store has room, always the one that is worth most.
void ReplicaPlanner::stageCopies(std::vector<EngineOrder>& orders)
{
    if (isFirstFormation())
        return;
    const std::set<std::string> all = fabrics();
    std::map<std::string, double> scarcities;
    for (const ReplicaModel& model : profile_.models)
        scarcities[model.name] = scarcity(model);
    const auto maxConcurrentLoads = static_cast<double>(profile_.maxConcurrentLoads);
    while (!hasTraffic_ || countLoads() < profile_.maxConcurrentLoads) {
        // The last loads at once are kept for what completes a replica.
        const bool isNearLimit = hasTraffic_ && static_cast<double>(countLoads()) >= maxConcurrentLoads * partForAll;
        const ReplicaModel* bestModel = nullptr;
        const Engine* bestHost = nullptr;
        double bestValue = 0;
        for (const ReplicaModel& model : profile_.models) {
            for (const std::string& fabric : all) {
                const CopyValue copy = valueCopy(model, countCopies(model, fabric));
                if (isNearLimit && copy.engines < leastUrgentCopy)
                    continue;
                const double value = copy.engines * scarcities.at(model.name);
                const Engine* host = value > bestValue ? findHost(model, fabric, copy.maySpare) : nullptr;
                if (!host)
                    continue;
                bestModel = &model;
                bestHost = host;
                bestValue = value;
            }
        }
        if (!bestHost)
            return;
        stage(*bestModel, engines_.at(bestHost->info.id), orders);
    }
}

void ReplicaPlanner::stage(const ReplicaModel& model, Engine& engine, std::vector<EngineOrder>& orders)
{
    engine.staging = model.name;
    engine.stagingSince = options_.clock();
    EngineOrder order = makeOrder(EngineOrderKind::Stage, engine, {}, 0);
    order.model = model.name;
    orders.push_back(std::move(order));
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
        if (engine.info.fabric != fabric || engine.isDead || engine.isUnlisted || engine.info.isLeaving || modelOf(engine) == &model)
            continue;
        const bool isReady = isWarm(engine, model.name) || engine.staging == model.name;
        const bool isIdle = !engine.info.membership;
        if (isReady && isIdle)
            ++count.idle;
        else if (isReady && isServing(engine))
            ++count.serving;
        else if (isIdle && engine.staging.empty() && !isReserved(engine, model))
            ++count.cold;
    }
    return count;
}

// How scarce a model's engines are for its part of the work, 1 on average.
double ReplicaPlanner::scarcity(const ReplicaModel& model) const
{
    constexpr double most = 2;
    double engines = 0;
    double shares = 0;
    const auto spares = [this](const ReplicaModel& of) { return hasTraffic_ ? 0 : countSpares(of); };
    for (const ReplicaModel& other : profile_.models) {
        engines += enginesFor(other.name) + spares(other);
        shares += other.workFraction;
    }
    const double wanted = engines * model.workFraction / std::max(0.01, shares);
    const double there = enginesFor(model.name) + spares(model) + static_cast<double>(model.size) / 2;
    return std::clamp(wanted / there, 1 / most, most);
}

// What one more copy of the model in a fabric domain is worth.
ReplicaPlanner::CopyValue ReplicaPlanner::valueCopy(const ReplicaModel& model, const CopyCount& count) const
{
    // A spare is worth what a loss that may come soon would stop; the second one less.
    constexpr double firstSpareValue = 3;
    constexpr double nextSpareValue = 0.75;
    const auto size = static_cast<double>(model.size);
    const size_t waiting = count.idle % model.size;
    const size_t missing = model.size - waiting - std::min(count.serving, model.size - waiting);
    // Each of the missing copies brings its part of the replica back into service.
    if (waiting > 0 && missing > 0 && (missing <= count.cold || 2 * waiting >= model.size))
        return { .engines = size / static_cast<double>(missing), .maySpare = isLarge(model) && 2 * waiting >= model.size };
    const size_t spares = waiting + count.serving;
    // Before the traffic copies cost little; later ones take longer than losses wait.
    const size_t wanted = hasTraffic_ ? options_.sparesWanted : std::max(options_.sparesWanted, model.size / 2);
    if (isLarge(model) && spares < wanted)
        return { .engines = spares == 0 ? firstSpareValue : nextSpareValue, .maySpare = true };
    if (waiting == 0 && model.size <= count.cold)
        return { .engines = 1 };
    return {};
}

// Whether an idle engine is to be kept for a larger model: it holds that one's copy, and half a replica
// waits in its fabric domain.
bool ReplicaPlanner::isReserved(const Engine& engine, const ReplicaModel& model) const
{
    return std::any_of(profile_.models.begin(), profile_.models.end(), [&](const ReplicaModel& larger) {
        if (larger.size <= model.size || !isWarm(engine, larger.name))
            return false;
        const auto found = waiting_.find({ engine.info.fabric, larger.name });
        return found != waiting_.end() && 2 * found->second >= larger.size;
    });
}

// The host that loses least by a copy of the model: an idle one without a use, else a member of a
// smaller replica, beside another such host if there is one.
const ReplicaPlanner::Engine* ReplicaPlanner::findHost(const ReplicaModel& model, const std::string& fabric, bool maySpare) const
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
        if (engine.info.fabric != fabric || engine.isDead || engine.isUnlisted || engine.info.isLeaving || !engine.staging.empty() || isWarm(engine, model.name))
            continue;
        if (options_.clock() - engine.stageRefusedAt < options_.orderTimeout)
            continue;
        const ReplicaModel* serves = modelOf(engine);
        if (engine.info.membership && (!maySpare || !isServing(engine) || !serves || serves->size >= model.size))
            continue;
        if (!engine.info.membership && isReserved(engine, model))
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

// Losses may leave one model with nearly all engines. In a fleet at rest nothing else changes that.
void ReplicaPlanner::rebalance(std::vector<EngineOrder>& orders)
{
    if (!hasTraffic_ || !orders.empty() || !isAtRest())
        return;
    for (const ReplicaModel* taker : modelsByNeed()) {
        for (const ReplicaModel& giver : profile_.models) {
            if (hasTooMany(giver, *taker) && giveReplica(giver, *taker, orders))
                return;
        }
    }
}

// Whether all replicas serve and no idle engine waits for a copy.
bool ReplicaPlanner::isAtRest() const
{
    const std::vector<ReplicaView> replicas = findReplicas();
    const bool allServe = std::all_of(replicas.begin(), replicas.end(), [](const ReplicaView& replica) {
        return replica.isReady() && !replica.isLeaving && replica.head()->membership->state == MemberState::Open;
    });
    return allServe && std::all_of(engines_.begin(), engines_.end(), [](const auto& entry) { return entry.second.info.membership || entry.second.staging.empty(); });
}

// Whether the giver has more engines for its part of the work than the taker even after it gave a replica.
bool ReplicaPlanner::hasTooMany(const ReplicaModel& giver, const ReplicaModel& taker) const
{
    if (giver.size < taker.size || &giver == &taker)
        return false;
    const double left = enginesFor(giver.name) - static_cast<double>(giver.size);
    const double gained = static_cast<double>(giver.size - giver.size % taker.size);
    return left > 0 && left / std::max(0.01, giver.workFraction) >= (enginesFor(taker.name) + gained) / std::max(0.01, taker.workFraction);
}

// Takes a replica apart for another model once its hosts hold copies of that; loads those first, while it serves
// on. False if the giver has no replica.
bool ReplicaPlanner::giveReplica(const ReplicaModel& giver, const ReplicaModel& taker, std::vector<EngineOrder>& orders)
{
    const size_t wanted = giver.size - giver.size % taker.size;
    const auto countCopies = [&](const ReplicaView& replica) {
        return static_cast<size_t>(std::count_if(replica.members.begin(), replica.members.end(), [&](const EndpointInfo* member) { return hasCopy(engines_.at(member->id), taker.name); }));
    };
    std::optional<ReplicaView> chosen;
    for (const ReplicaView& replica : findReplicas()) {
        if (replica.model == giver.name && (!chosen || countCopies(replica) > countCopies(*chosen)))
            chosen = replica;
    }
    if (!chosen)
        return false;
    size_t copies = 0; // there or on their way
    for (auto member = chosen->members.rbegin(); member != chosen->members.rend(); ++member) {
        Engine& engine = engines_.at((*member)->id);
        if (!hasCopy(engine, taker.name) && engine.staging.empty() && copies < wanted && countLoads() < profile_.maxConcurrentLoads)
            stage(taker, engine, orders);
        copies += hasCopy(engine, taker.name) || engine.staging == taker.name ? 1 : 0;
    }
    if (countCopies(*chosen) >= wanted)
        release(*chosen, orders);
    return true;
}

} // namespace hemlockweir
