#include "replicas/ReplicaPlanner.h"

#include <algorithm>

// The part of ReplicaPlanner that manages copies of models on hosts: it decides which copies to stage in advance,
// when spares in smaller replicas replace lost members of larger ones, and when a replica of one model is given to
// another model.

namespace hemlockweir {

// Fraction of the concurrent loads that any copy may use; the rest is reserved for urgent copies.
static constexpr double ordinaryLoadFraction = 0.75;
// A copy that brings at least this many engines into service is urgent: it completes a replica.
static constexpr double minUrgentEngines = 2;

// Returns whether members of the donor's replicas may complete a replica of the recipient. A few donated engines
// bring a whole larger replica back, so the recipient may already have more engines per unit of work than the donor,
// by up to the factor gained.
bool ReplicaPlanner::mayDonate(const ReplicaModel& donor, const ReplicaModel& recipient, size_t required) const
{
    const auto enginesPerWork = [this](const ReplicaModel& model) { return enginesFor(model.name) / std::max(0.01, model.workFraction); };
    const auto gain = static_cast<double>(recipient.size) / static_cast<double>(required * donor.size);
    return donor.size < recipient.size && gain > 1 && enginesPerWork(donor) * gain > enginesPerWork(recipient);
}

// Returns the spares of a model: engines that serve in replicas of a smaller model while their hosts hold a copy of
// this one.
std::vector<const ReplicaPlanner::Engine*> ReplicaPlanner::findSpares(const ReplicaModel& model, const std::string& fabric) const
{
    std::vector<const Engine*> spares;
    for (const auto& [id, engine] : engines_) {
        const ReplicaModel* servedModel = modelOf(engine);
        if (engine.info.fabric == fabric && servedModel && servedModel->size < model.size && isServing(engine) && hasCopy(engine, model.name))
            spares.push_back(&engine);
    }
    // Sorted by group, because two spares from the same replica cost only that one replica.
    std::stable_sort(spares.begin(), spares.end(), [](const Engine* one, const Engine* other) { return one->info.membership->group < other->info.membership->group; });
    return spares;
}

// Drains the smaller replicas whose members are needed as spares to replace lost members of a larger replica.
void ReplicaPlanner::drainSpares(const std::string& fabric, const FreeEngines& free, std::vector<EngineOrder>& orders)
{
    for (const ReplicaModel* model : modelsByNeed()) {
        const auto warm = static_cast<size_t>(std::count_if(free.begin(), free.end(), [&](const Engine* engine) { return isWarm(*engine, model->name); }));
        // Complete only the remains of a larger replica: at least half of its engines must be free.
        if (2 * warm < model->size || warm >= model->size)
            continue;
        const std::vector<const Engine*> spares = findSpares(*model, fabric);
        const size_t required = model->size - warm;
        const bool hasDrainingSpare = std::any_of(spares.begin(), spares.end(), [this](const Engine* spare) { return plans_.at(spare->info.membership->group).closedAt != never; });
        if (hasDrainingSpare)
            return;
        if (spares.size() < required || !mayDonate(*modelOf(*spares.front()), *model, required))
            continue;
        std::set<std::string> groups;
        for (size_t i = 0; i < required; ++i)
            groups.insert(spares[i]->info.membership->group);
        for (const ReplicaView& replica : findReplicas()) {
            if (groups.count(replica.group) > 0)
                drainReplica(replica, orders);
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

// Stages copies while the weight store has capacity, the most valuable copy first.
void ReplicaPlanner::stageCopies(std::vector<EngineOrder>& orders)
{
    if (isInitialFormation())
        return;
    const std::set<std::string> all = fabrics();
    std::map<std::string, double> scarcities;
    for (const ReplicaModel& model : profile_.models)
        scarcities[model.name] = scarcity(model);
    const auto maxConcurrentLoads = static_cast<double>(profile_.maxConcurrentLoads);
    while (!hasTraffic_ || countActiveLoads() < profile_.maxConcurrentLoads) {
        // The last concurrent loads are reserved for copies that complete a replica.
        const bool isNearLimit = hasTraffic_ && static_cast<double>(countActiveLoads()) >= maxConcurrentLoads * ordinaryLoadFraction;
        const ReplicaModel* bestModel = nullptr;
        const Engine* bestHost = nullptr;
        double bestValue = 0;
        for (const ReplicaModel& model : profile_.models) {
            for (const std::string& fabric : all) {
                const CopyValue copy = evaluateCopy(model, countCopies(model, fabric));
                if (isNearLimit && copy.enginesGained < minUrgentEngines)
                    continue;
                const double value = copy.enginesGained * scarcities.at(model.name);
                const Engine* host = value > bestValue ? chooseHost(model, fabric, copy.mayUseServingHost) : nullptr;
                if (!host)
                    continue;
                bestModel = &model;
                bestHost = host;
                bestValue = value;
            }
        }
        if (!bestHost)
            return;
        stageCopy(*bestModel, engines_.at(bestHost->info.id), orders);
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

// Returns the number of spares of a large model, up to the target in each fabric domain. A spare is as good as an engine
// of the model. Before there is traffic the target itself counts, since the spares are still to be staged.
double ReplicaPlanner::countSpares(const ReplicaModel& model) const
{
    if (!isLarge(model))
        return 0;
    double spares = 0;
    for (const std::string& fabric : fabrics()) {
        const CopyCount count = countCopies(model, fabric);
        const size_t available = hasTraffic_ ? count.idle % model.size + count.serving : options_.targetSpares;
        spares += static_cast<double>(std::min(available, options_.targetSpares));
    }
    return spares;
}

// Counts the hosts of a fabric domain that hold, load or could load a copy of a model outside its replicas.
ReplicaPlanner::CopyCount ReplicaPlanner::countCopies(const ReplicaModel& model, const std::string& fabric) const
{
    CopyCount count;
    for (const auto& [id, engine] : engines_) {
        if (engine.info.fabric != fabric || engine.isDead || engine.isUnlisted || engine.info.isLeaving || modelOf(engine) == &model)
            continue;
        const bool isReady = isWarm(engine, model.name) || engine.stagingModel == model.name;
        const bool isIdle = !engine.info.membership;
        if (isReady && isIdle)
            ++count.idle;
        else if (isReady && isServing(engine))
            ++count.serving;
        else if (isIdle && engine.stagingModel.empty() && !isReserved(engine, model))
            ++count.cold;
    }
    return count;
}

// Returns how scarce a model's engines are relative to its fraction of the work, 1 on average.
double ReplicaPlanner::scarcity(const ReplicaModel& model) const
{
    constexpr double maxScarcity = 2;
    double engines = 0;
    double totalWorkFraction = 0;
    const auto spares = [this](const ReplicaModel& of) { return hasTraffic_ ? 0 : countSpares(of); };
    for (const ReplicaModel& other : profile_.models) {
        engines += enginesFor(other.name) + spares(other);
        totalWorkFraction += other.workFraction;
    }
    const double required = engines * model.workFraction / std::max(0.01, totalWorkFraction);
    const double available = enginesFor(model.name) + spares(model) + static_cast<double>(model.size) / 2;
    return std::clamp(required / available, 1 / maxScarcity, maxScarcity);
}

// Returns the value of one more copy of the model in a fabric domain with these counts.
ReplicaPlanner::CopyValue ReplicaPlanner::evaluateCopy(const ReplicaModel& model, const CopyCount& count) const
{
    // A spare is worth the engines that a loss would take out of service; a second spare is worth less.
    constexpr double firstSpareValue = 3;
    constexpr double nextSpareValue = 0.75;
    const auto size = static_cast<double>(model.size);
    const size_t idleCopies = count.idle % model.size;
    const size_t missing = model.size - idleCopies - std::min(count.serving, model.size - idleCopies);
    // Each missing copy brings an equal fraction of the replica back into service.
    if (idleCopies > 0 && missing > 0 && (missing <= count.cold || 2 * idleCopies >= model.size))
        return { .enginesGained = size / static_cast<double>(missing), .mayUseServingHost = isLarge(model) && 2 * idleCopies >= model.size };
    const size_t spares = idleCopies + count.serving;
    // Before there is traffic, copies are cheap. Later a load takes longer than a loss can wait for it.
    const size_t required = hasTraffic_ ? options_.targetSpares : std::max(options_.targetSpares, model.size / 2);
    if (isLarge(model) && spares < required)
        return { .enginesGained = spares == 0 ? firstSpareValue : nextSpareValue, .mayUseServingHost = true };
    if (idleCopies == 0 && model.size <= count.cold)
        return { .enginesGained = 1 };
    return {};
}

// Returns whether an idle engine is reserved for a larger model: its host holds a copy of that model, and at least
// half a replica of such engines is idle in its fabric domain.
bool ReplicaPlanner::isReserved(const Engine& engine, const ReplicaModel& model) const
{
    return std::any_of(profile_.models.begin(), profile_.models.end(), [&](const ReplicaModel& larger) {
        if (larger.size <= model.size || !isWarm(engine, larger.name))
            return false;
        const auto found = idleCopies_.find({ engine.info.fabric, larger.name });
        return found != idleCopies_.end() && 2 * found->second >= larger.size;
    });
}

// Chooses the host where a copy of the model costs least. In order of preference: an idle host without a copy, an
// idle host with a copy of another model, a member of a smaller replica that already contains a spare or a host that
// is loading, any other member of a smaller replica.
const ReplicaPlanner::Engine* ReplicaPlanner::chooseHost(const ReplicaModel& model, const std::string& fabric, bool mayUseServingHost) const
{
    const Engine* best = nullptr;
    int bestCost = 0;
    std::set<std::string> groupsWithSpare;
    for (const Engine* spare : findSpares(model, fabric))
        groupsWithSpare.insert(spare->info.membership->group);
    for (const auto& [id, engine] : engines_) {
        if (!engine.stagingModel.empty() && engine.info.membership)
            groupsWithSpare.insert(engine.info.membership->group);
    }
    for (const auto& [id, engine] : engines_) {
        if (engine.info.fabric != fabric || engine.isDead || engine.isUnlisted || engine.info.isLeaving || !engine.stagingModel.empty() || isWarm(engine, model.name))
            continue;
        if (options_.clock() - engine.stageRefusedAt < options_.orderRetryInterval)
            continue;
        const ReplicaModel* servedModel = modelOf(engine);
        if (engine.info.membership && (!mayUseServingHost || !isServing(engine) || !servedModel || servedModel->size >= model.size))
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

// Moves a replica from a model with a surplus to one that lacks engines. Losses may leave one model with nearly all
// engines, and in a steady fleet nothing else corrects that.
void ReplicaPlanner::rebalance(std::vector<EngineOrder>& orders)
{
    if (!hasTraffic_ || !orders.empty() || !isSteady())
        return;
    for (const ReplicaModel* recipient : modelsByNeed()) {
        for (const ReplicaModel& donor : profile_.models) {
            if (hasSurplus(donor, *recipient) && transferReplica(donor, *recipient, orders))
                return;
        }
    }
}

// Returns whether all replicas are open and no idle engine is loading a copy.
bool ReplicaPlanner::isSteady() const
{
    const std::vector<ReplicaView> replicas = findReplicas();
    const bool allServe = std::all_of(replicas.begin(), replicas.end(), [](const ReplicaView& replica) {
        return replica.isReady() && !replica.isLeaving && replica.head()->membership->state == MemberState::Open;
    });
    return allServe && std::all_of(engines_.begin(), engines_.end(), [](const auto& entry) { return entry.second.info.membership || entry.second.stagingModel.empty(); });
}

// Returns whether the donor would still have at least as many engines per unit of work as the recipient after it
// handed over a replica.
bool ReplicaPlanner::hasSurplus(const ReplicaModel& donor, const ReplicaModel& recipient) const
{
    if (donor.size < recipient.size || &donor == &recipient)
        return false;
    const double remaining = enginesFor(donor.name) - static_cast<double>(donor.size);
    const double gained = static_cast<double>(donor.size - donor.size % recipient.size);
    return remaining > 0 && remaining / std::max(0.01, donor.workFraction) >= (enginesFor(recipient.name) + gained) / std::max(0.01, recipient.workFraction);
}

// Gives a replica of the donor to the recipient. Stages copies of the recipient's model on its hosts first, while it
// keeps serving, and drains it once enough hosts hold one. Returns false if the donor has no replica.
bool ReplicaPlanner::transferReplica(const ReplicaModel& donor, const ReplicaModel& recipient, std::vector<EngineOrder>& orders)
{
    const size_t required = donor.size - donor.size % recipient.size;
    const auto countRecipientCopies = [&](const ReplicaView& replica) {
        return static_cast<size_t>(std::count_if(replica.members.begin(), replica.members.end(), [&](const EndpointInfo* member) { return hasCopy(engines_.at(member->id), recipient.name); }));
    };
    std::optional<ReplicaView> chosen;
    for (const ReplicaView& replica : findReplicas()) {
        if (replica.model == donor.name && (!chosen || countRecipientCopies(replica) > countRecipientCopies(*chosen)))
            chosen = replica;
    }
    if (!chosen)
        return false;
    size_t copies = 0; // stored or being loaded
    for (auto member = chosen->members.rbegin(); member != chosen->members.rend(); ++member) {
        Engine& engine = engines_.at((*member)->id);
        if (!hasCopy(engine, recipient.name) && engine.stagingModel.empty() && copies < required && countActiveLoads() < profile_.maxConcurrentLoads)
            stageCopy(recipient, engine, orders);
        copies += hasCopy(engine, recipient.name) || engine.stagingModel == recipient.name ? 1 : 0;
    }
    if (countRecipientCopies(*chosen) >= required)
        drainReplica(*chosen, orders);
    return true;
}

} // namespace hemlockweir
