#include "replicas/ReplicaPlanner.h"

#include <algorithm>
#include <cmath>

// The part of ReplicaPlanner that manages copies of models on hosts: it decides which copies to stage in advance,
// when spares in smaller replicas replace lost members of larger ones, and when replicas of one model are given to
// another model.

namespace hemlockweir {

// A copy that gains at least this much is urgent: it completes a replica.
static constexpr double minUrgentGain = 2;
// A copy that gains at least this much is ordinary: it brings engines into service, or replaces a likely loss.
static constexpr double minOrdinaryGain = 0.4;
// Fractions of the concurrent loads that ordinary copies and all others may use; the rest is kept for urgent ones.
static constexpr double ordinaryLoadFraction = 0.75;
static constexpr double backgroundLoadFraction = 0.5;
// Resolution of the models' scarcity when copies are valued. Coarse, so that choices stay valid for longer.
static constexpr double scarcityStep = 0.25;
static constexpr double minWorkFraction = 0.01;
// Fraction of its slots in use up to which a model may give up replicas. Above it, its own requests would wait.
static constexpr double maxDonorUtilization = 0.85;

// Returns whether so many of the donor's replicas may be broken up to complete a replica of the recipient. That brings a
// whole larger replica back, so the recipient may already have more engines per unit of work than the donor, by up to the
// factor gained.
bool ReplicaPlanner::mayDonate(const ReplicaModel& donor, const ReplicaModel& recipient, size_t replicas) const
{
    const auto enginesPerWork = [this](const ReplicaModel& model) { return enginesFor(model.name) / std::max(minWorkFraction, model.workFraction); };
    const auto gain = static_cast<double>(recipient.size) / static_cast<double>(replicas * donor.size);
    return donor.size < recipient.size && gain > 1 && enginesPerWork(donor) * gain > enginesPerWork(recipient);
}

// Returns the spares of a model: engines that serve in replicas of a smaller model while their hosts hold a copy of
// this one.
std::vector<const ReplicaPlanner::Engine*> ReplicaPlanner::findSpares(const ReplicaModel& model, const std::string& fabric) const
{
    std::vector<const Engine*> spares;
    for (const Engine* engine : domains_.at(fabric).engines) {
        const ReplicaModel* servedModel = modelOf(*engine);
        if (servedModel && servedModel->size < model.size && !isReclaimable(*engine) && isServing(*engine) && hasCopy(*engine, model.name))
            spares.push_back(engine);
    }
    // Sorted by group, because two spares from the same replica cost only that one replica.
    std::stable_sort(spares.begin(), spares.end(), [](const Engine* one, const Engine* other) { return one->info.membership->group < other->info.membership->group; });
    return spares;
}

bool ReplicaPlanner::isDraining(const Engine& engine) const
{
    const auto plan = engine.info.membership ? plans_.find(engine.info.membership->group) : plans_.end();
    return plan != plans_.end() && plan->second.closedAt != never;
}

// Returns whether the engine's host is loading a copy of the model that will be complete within the reserve time.
bool ReplicaPlanner::isLoadedSoon(const Engine& engine, const ReplicaModel& model) const
{
    return engine.stagingModel == model.name && engine.stagingStartedAt + model.loadTime - options_.clock() <= options_.reserveTime;
}

// Returns whether the free engines will soon suffice for a replica of the model: together with copies that are almost
// loaded, or with members of replicas that drain. Drains smaller replicas if their members complete the remains of this
// one.
bool ReplicaPlanner::completesSoon(const ReplicaModel& model, const std::string& fabric, const FreeEngines& free, std::vector<EngineOrder>& orders)
{
    if (!hasTraffic_)
        return false;
    size_t warm = 0;
    size_t soon = 0;
    for (const Engine* engine : free) {
        warm += isWarm(*engine, model.name) ? 1 : 0;
        soon += !isWarm(*engine, model.name) && isLoadedSoon(*engine, model) ? 1 : 0;
    }
    for (const Engine* engine : domains_.at(fabric).engines)
        soon += isDraining(*engine) && isWarm(*engine, model.name) && !engine->isDead && !engine->info.isLeaving ? 1 : 0;
    if (warm + soon >= model.size || reclaimMembers(model, fabric, model.size - warm - soon, orders))
        return true;
    // Complete only the remains of a larger replica: at least half of its engines must be free.
    return 2 * warm >= model.size && drainSpares(model, fabric, model.size - warm, orders);
}

// Drains the smaller replicas whose members are needed as spares of the model. Returns false if there are too few, or if
// they are better left where they are.
bool ReplicaPlanner::drainSpares(const ReplicaModel& model, const std::string& fabric, size_t required, std::vector<EngineOrder>& orders)
{
    const std::vector<const Engine*> spares = findSpares(model, fabric);
    if (spares.size() < required)
        return false;
    std::set<std::string> groups;
    for (size_t i = 0; i < required; ++i)
        groups.insert(spares[i]->info.membership->group);
    if (!mayDonate(*modelOf(*spares.front()), model, groups.size()))
        return false;
    drainGroups(groups, orders);
    return true;
}

void ReplicaPlanner::drainGroups(const std::set<std::string>& groups, std::vector<EngineOrder>& orders)
{
    for (const ReplicaView& replica : findReplicas()) {
        if (groups.count(replica.group) > 0)
            drainReplica(replica, orders);
    }
}

bool ReplicaPlanner::isLarge(const ReplicaModel& model) const
{
    return std::any_of(profile_.models.begin(), profile_.models.end(), [&](const ReplicaModel& other) { return other.size < model.size; });
}

// Returns the bit of a model in a ModelSet; 0 if no copies are planned for it.
ModelSet ReplicaPlanner::modelBit(const std::string& model) const
{
    for (size_t i = 0; i < std::min(profile_.models.size(), maxCopyModels); ++i) {
        if (profile_.models[i].name == model)
            return ModelSet { 1 } << i;
    }
    return 0;
}

DomainHost ReplicaPlanner::describeHost(const Engine& engine) const
{
    DomainHost host { .warm = modelBit(engine.lastModel) | modelBit(engine.stagingModel), .warmAfterLoad = modelBit(engine.lastModel) };
    const std::vector<std::string>& staged = engine.info.staged;
    for (size_t i = 0; i < staged.size(); ++i) {
        host.warm |= modelBit(staged[i]);
        // The host keeps its latest copies; a load replaces the earliest.
        if (i + profile_.maxCachedModels > staged.size())
            host.warmAfterLoad |= modelBit(staged[i]);
    }
    const bool isRefused = options_.clock() - engine.stageRefusedAt < options_.orderRetryInterval;
    host.mayLoad = engine.stagingModel.empty() && !isRefused && (isFree(engine) || isServing(engine)) && !isDraining(engine);
    return host;
}

// Describes a fabric domain to chooseCopies(). The last choice stays if nothing has changed.
void ReplicaPlanner::updateDomainState(Domain& domain) const
{
    DomainState state;
    domain.hosts.clear();
    std::map<std::string, int> replicas;
    for (Engine* engine : domain.engines) {
        const bool isJoining = engine->info.membership && engine->info.membership->state == MemberState::Joining;
        if (engine->isDead || engine->isUnlisted || engine->info.isLeaving || isJoining)
            continue;
        DomainHost host = describeHost(*engine);
        const ReplicaModel* model = modelOf(*engine);
        const ModelSet bit = model ? modelBit(model->name) : 0;
        // Members of spanning replicas count as free, because they are reclaimed as soon as a replica can be completed.
        if (bit != 0 && wholeGroups_.count(engine->info.membership->group) > 0 && !isDraining(*engine) && !isReclaimable(*engine)) {
            const auto [found, isNew] = replicas.try_emplace(engine->info.membership->group, static_cast<int>(state.replicas.size()));
            if (isNew)
                state.replicas.push_back(static_cast<size_t>(model - profile_.models.data()));
            host.replica = found->second;
        }
        state.hosts.push_back(host);
        domain.hosts.push_back(engine);
    }
    if (state == domain.state)
        return;
    domain.state = std::move(state);
    domain.choice = chooseCopies(domain.state, weights_);
}

// Returns the value of the models' engines: the scarcer a model, the more.
std::vector<ModelWeight> ReplicaPlanner::modelWeights() const
{
    std::vector<ModelWeight> weights;
    double longest = 1;
    for (const ReplicaModel& model : profile_.models)
        longest = std::max(longest, static_cast<double>(model.loadTime.count()));
    for (const ReplicaModel& model : profile_.models) {
        const double value = std::max(scarcityStep, std::round(scarcity(model) / scarcityStep) * scarcityStep);
        const double cost = std::max<double>(1, static_cast<double>(model.loadTime.count())) / longest;
        weights.push_back({ .size = model.size, .engineValue = value, .loadCost = cost });
    }
    return weights;
}

// Returns the number of concurrent loads up to which a copy of this gain may be loaded.
size_t ReplicaPlanner::loadLimit(double gainPerLoad) const
{
    const auto limit = static_cast<double>(profile_.maxConcurrentLoads);
    if (gainPerLoad >= minUrgentGain)
        return profile_.maxConcurrentLoads;
    return static_cast<size_t>(std::ceil(limit * (gainPerLoad >= minOrdinaryGain ? ordinaryLoadFraction : backgroundLoadFraction)));
}

// Stages copies while the weight store has capacity, the most valuable ones first.
void ReplicaPlanner::stageCopies(std::vector<EngineOrder>& orders)
{
    if (isInitialFormation())
        return;
    if (const std::vector<ModelWeight> weights = modelWeights(); weights != weights_) {
        weights_ = weights;
        for (auto& [fabric, domain] : domains_)
            domain.state = DomainState {};
    }
    for (auto& [fabric, domain] : domains_)
        updateDomainState(domain);
    size_t loads = countActiveLoads();
    while (true) {
        Domain* best = nullptr;
        for (auto& [fabric, domain] : domains_) {
            const bool isAllowed = domain.choice && (!hasTraffic_ || loads < loadLimit(domain.choice->gainPerLoad));
            if (isAllowed && (!best || domain.choice->gainPerLoad > best->choice->gainPerLoad))
                best = &domain;
        }
        if (!best)
            break;
        const CopyChoice choice = *best->choice;
        for (const size_t host : choice.hosts) {
            if (hasTraffic_ && loads >= loadLimit(choice.gainPerLoad))
                break;
            stageCopy(profile_.models[choice.model], *best->hosts[host], orders);
            ++loads;
        }
        updateDomainState(*best);
    }
    stageSecondCopies(orders);
}

// Returns the model that a host should hold a copy of when no copy gains anything at the moment; null if its engine is
// warm for another model already, or for none but that of its replica can be loaded.
const ReplicaModel* ReplicaPlanner::chooseSecondModel(const Engine& engine) const
{
    const DomainHost host = describeHost(engine);
    if (!host.mayLoad || host.warm != host.warmAfterLoad)
        return nullptr;
    const ReplicaModel* best = nullptr;
    for (const ReplicaModel& model : profile_.models) {
        const ModelSet bit = modelBit(model.name);
        if (bit != 0 && (host.warm & bit) == 0 && (!best || scarcity(model) > scarcity(*best)))
            best = &model;
    }
    return best;
}

// Lets each host that has room for a copy hold one, as far as loads are cheap: its engine can then serve another model
// after a loss.
void ReplicaPlanner::stageSecondCopies(std::vector<EngineOrder>& orders)
{
    size_t loads = countActiveLoads();
    // Idle hosts first: without a copy they can't replace a loss at all.
    for (const bool isIdle : { true, false }) {
        const size_t limit = loadLimit(isIdle ? minOrdinaryGain : 0);
        for (const auto& [fabric, domain] : domains_) {
            for (Engine* engine : domain.hosts) {
                if (hasTraffic_ && loads >= limit)
                    break;
                const ReplicaModel* model = isFree(*engine) == isIdle ? chooseSecondModel(*engine) : nullptr;
                if (!model)
                    continue;
                stageCopy(*model, *engine, orders);
                ++loads;
            }
        }
    }
}

void ReplicaPlanner::stageCopy(const ReplicaModel& model, Engine& engine, std::vector<EngineOrder>& orders)
{
    engine.stagingModel = model.name;
    engine.stagingStartedAt = options_.clock();
    EngineOrder order = makeOrder(EngineOrderKind::Stage, engine, {}, 0);
    order.model = model.name;
    orders.push_back(std::move(order));
}

// Returns how scarce a model's engines are relative to its fraction of the work, 1 on average.
double ReplicaPlanner::scarcity(const ReplicaModel& model) const
{
    constexpr double maxScarcity = 2;
    double engines = 0;
    double totalWorkFraction = 0;
    const auto spares = [this](const ReplicaModel& of) { return hasTraffic_ ? 0 : expectedSpares(of); };
    for (const ReplicaModel& other : profile_.models) {
        engines += enginesFor(other.name) + spares(other);
        totalWorkFraction += other.workFraction;
    }
    const double required = engines * model.workFraction / std::max(minWorkFraction, totalWorkFraction);
    const double available = enginesFor(model.name) + spares(model) + static_cast<double>(model.size) / 2;
    return std::clamp(required / available, 1 / maxScarcity, maxScarcity);
}

// Moves replicas from a model with a surplus to one that lacks engines. Losses may leave one model with nearly all
// engines. One transfer at a time: each changes what the next one must be judged by.
void ReplicaPlanner::rebalance(std::vector<EngineOrder>& orders)
{
    if (!hasTraffic_)
        return;
    const Millis now = options_.clock();
    for (const ReplicaModel* recipient : modelsByNeed()) {
        for (const ReplicaModel& donor : profile_.models) {
            if (&donor == recipient || !hasLastingSurplus(donor, *recipient) || now - transferredAt_ < options_.transferInterval)
                continue;
            if (transferReplicas(donor, *recipient, orders))
                transferredAt_ = now;
        }
    }
}

// Returns whether the donor could give up a replica's worth of engines for some time already. A loss alone changes the
// numbers of engines only until it is repaired.
bool ReplicaPlanner::hasLastingSurplus(const ReplicaModel& donor, const ReplicaModel& recipient)
{
    const std::pair key { donor.name, recipient.name };
    const auto engines = static_cast<double>(std::max(donor.size, recipient.size));
    if (!hasSurplus(donor, engines, recipient, engines)) {
        surplusSince_.erase(key);
        return false;
    }
    const Millis since = surplusSince_.try_emplace(key, options_.clock()).first->second;
    return options_.clock() - since >= options_.surplusTime;
}

// Returns whether the donor would still have at least as many engines per unit of work as the recipient after a
// transfer, and room for its own requests.
bool ReplicaPlanner::hasSurplus(const ReplicaModel& donor, double taken, const ReplicaModel& recipient, double gained) const
{
    const double remaining = enginesFor(donor.name) - taken;
    const auto utilization = utilization_.find(donor.name);
    const double used = utilization == utilization_.end() ? 0 : utilization->second * enginesFor(donor.name);
    return remaining > 0 && used <= maxDonorUtilization * remaining
        && remaining / std::max(minWorkFraction, donor.workFraction) >= (enginesFor(recipient.name) + gained) / std::max(minWorkFraction, recipient.workFraction);
}

// Drains replicas of the donor whose engines form a replica of the recipient, in the fabric domain where that costs the
// fewest engines. If no domain holds enough copies, stages them on a replica of the donor that is large enough, while it
// keeps serving. Returns false if there is nothing to transfer.
bool ReplicaPlanner::transferReplicas(const ReplicaModel& donor, const ReplicaModel& recipient, std::vector<EngineOrder>& orders)
{
    struct Transfer {
        std::set<std::string> groups;
        double taken = 0; // engines
        double gained = 0; // engines
    };
    std::map<std::string, std::vector<ReplicaView>> replicasByFabric;
    for (ReplicaView& replica : findReplicas()) {
        if (replica.model == donor.name && !replica.isSpanning && !replica.hasEvacuatedMember && replica.isReady() && !replica.isLeaving && replica.head()->membership->state == MemberState::Open)
            replicasByFabric[replica.fabric].push_back(std::move(replica));
    }
    const auto countWarm = [&](const ReplicaView& replica) {
        return static_cast<size_t>(std::count_if(replica.members.begin(), replica.members.end(), [&](const EndpointInfo* member) { return isWarm(engines_.at(member->id), recipient.name); }));
    };
    // A model without a replica serves nothing, so its first one may leave engines over.
    const bool isFirst = enginesFor(recipient.name) == 0;
    std::optional<Transfer> best;
    for (auto& [fabric, replicas] : replicasByFabric) {
        const std::vector<Engine*>& engines = domains_.at(fabric).engines;
        if (std::any_of(engines.begin(), engines.end(), [this](const Engine* engine) { return isDraining(*engine); }))
            continue;
        auto warm = static_cast<size_t>(std::count_if(engines.begin(), engines.end(), [&](const Engine* engine) { return isFree(*engine) && isWarm(*engine, recipient.name); }));
        std::stable_sort(replicas.begin(), replicas.end(), [&](const ReplicaView& one, const ReplicaView& other) { return countWarm(one) > countWarm(other); });
        Transfer transfer;
        for (const ReplicaView& replica : replicas) {
            if (warm >= recipient.size)
                break;
            warm += countWarm(replica);
            transfer.groups.insert(replica.group);
            transfer.taken += static_cast<double>(donor.size);
        }
        transfer.gained = static_cast<double>(warm - warm % recipient.size);
        const bool isWorthwhile = transfer.gained >= transfer.taken || isFirst;
        const bool isUseful = warm >= recipient.size && !transfer.groups.empty() && isWorthwhile && hasSurplus(donor, transfer.taken, recipient, transfer.gained);
        if (isUseful && (!best || transfer.gained - transfer.taken > best->gained - best->taken))
            best = std::move(transfer);
    }
    if (best) {
        drainGroups(best->groups, orders);
        return true;
    }
    if (donor.size < recipient.size || replicasByFabric.empty())
        return false;
    const ReplicaView& chosen = replicasByFabric.begin()->second.front();
    bool hasStaged = false;
    for (const EndpointInfo* member : chosen.members) {
        Engine& engine = engines_.at(member->id);
        if (isWarm(engine, recipient.name) || !engine.stagingModel.empty() || countActiveLoads() >= profile_.maxConcurrentLoads)
            continue;
        stageCopy(recipient, engine, orders);
        hasStaged = true;
    }
    return hasStaged;
}

} // namespace hemlockweir
