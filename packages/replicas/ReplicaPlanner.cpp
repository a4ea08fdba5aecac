#include "replicas/ReplicaPlanner.h"

#include "replicas/PlannerTerm.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cmath>
#include <glog/logging.h>

namespace hemlockweir {

// Slack on top of the load time before a replica that is not ready is dissolved: its load may share the store's
// bandwidth with others.
static constexpr Millis formationSlack { 12000 };

uint64_t firstEpochOf(uint64_t term)
{
    return term << epochCountBits;
}

bool ReplicaView::isWhole() const
{
    return size > 0 && members.size() == size && std::none_of(members.begin(), members.end(), [](const EndpointInfo* member) { return member == nullptr; });
}

bool ReplicaView::isReady() const
{
    return isWhole() && std::all_of(members.begin(), members.end(), [](const EndpointInfo* member) {
        return member->membership && (member->membership->state == MemberState::Ready || member->membership->state == MemberState::Open);
    });
}

ReplicaPlanner::ReplicaPlanner(Options options)
    : options_(std::move(options))
{
}

void ReplicaPlanner::setTerm(uint64_t term)
{
    if (term != term_)
        termStartedAt_ = options_.clock();
    term_ = term;
    lastEpoch_ = std::max(lastEpoch_, firstEpochOf(term));
}

std::vector<ReplicaView> ReplicaPlanner::findReplicas() const
{
    std::vector<ReplicaView> replicas;
    for (const auto& [group, plan] : plans_) {
        const ReplicaModel* model = profile_.findModel(plan.model);
        ReplicaView replica { .group = group, .epoch = plan.epoch, .model = plan.model, .fabric = plan.fabric };
        replica.size = model ? model->size : 0;
        replica.isSpanning = plan.isSpanning;
        replica.members.resize(std::max(replica.size, plan.members.size()));
        for (size_t rank = 0; rank < plan.members.size(); ++rank) {
            const auto found = engines_.find(plan.members[rank]);
            if (found == engines_.end())
                continue;
            const Engine& engine = found->second;
            const bool isMember = engine.info.membership && engine.info.membership->group == group && engine.info.membership->epoch == plan.epoch;
            replica.hasDeadMember = replica.hasDeadMember || engine.isDead;
            replica.isLeaving = replica.isLeaving || (isMember && engine.info.isLeaving);
            replica.hasEvacuatedMember = replica.hasEvacuatedMember || (isMember && engine.info.isEvacuated);
            if (isMember && !engine.isDead)
                replica.members[rank] = &engine.info;
        }
        replicas.push_back(std::move(replica));
    }
    return replicas;
}

std::vector<std::string> ReplicaPlanner::membersOfHead(const std::string& head) const
{
    for (const auto& [group, plan] : plans_) {
        if (!plan.members.empty() && plan.members.front() == head)
            return plan.members;
    }
    return {};
}

EngineOrder ReplicaPlanner::makeOrder(EngineOrderKind kind, const Engine& engine, const std::string& group, uint64_t epoch) const
{
    return { .kind = kind, .engine = engine.info.id, .domain = engine.info.domain, .address = engine.info.address, .port = engine.info.port, .group = group, .epoch = epoch };
}

bool ReplicaPlanner::canOrder(const std::string& engine, Millis retryInterval) const
{
    const auto found = engines_.find(engine);
    return found != engines_.end() && !found->second.isDead && !found->second.info.isEvacuated && options_.clock() - found->second.lastOrderAt >= retryInterval;
}

std::vector<EngineOrder> ReplicaPlanner::plan()
{
    std::vector<EngineOrder> orders;
    if (profile_.models.empty())
        return orders;
    refreshBeliefs();
    updateDomains();
    maintainReplicas(orders);
    updateCounts();
    formReplicas(orders);
    stageCopies(orders);
    rebalance(orders);
    return orders;
}

void ReplicaPlanner::maintainReplicas(std::vector<EngineOrder>& orders)
{
    for (const ReplicaView& replica : findReplicas())
        maintainReplica(replica, orders);
}

void ReplicaPlanner::maintainReplica(const ReplicaView& replica, std::vector<EngineOrder>& orders)
{
    if (replica.size == 0)
        return;
    if (replica.hasEvacuatedMember) {
        vacateReplica(replica, orders);
        return;
    }
    ReplicaPlan& plan = plans_.at(replica.group);
    const Millis now = options_.clock();
    const EndpointInfo* head = replica.head();
    const bool isBroken = head && head->membership->state == MemberState::Broken;
    if (!replica.isWhole() || isBroken || plan.isReclaimed || hasPendingNewerJoin(replica)) {
        dissolveReplica(replica, orders);
        return;
    }
    if (replica.isLeaving || plan.closedAt != never) {
        drainReplica(replica, orders);
        return;
    }
    if (replica.isReady()) {
        const bool isUnopened = head->membership->state == MemberState::Ready;
        if (isUnopened && isOfEarlierTerm(replica)) {
            dissolveReplica(replica, orders);
        } else if (isUnopened && now - plan.openedAt >= options_.orderRetryInterval) {
            plan.openedAt = now;
            orders.push_back(makeOrder(EngineOrderKind::Open, engines_.at(head->id), replica.group, replica.epoch));
        }
        return;
    }
    const ReplicaModel* model = profile_.findModel(replica.model);
    if (model && now - plan.startedAt >= model->loadTime + formationSlack)
        dissolveReplica(replica, orders);
}

// Returns whether a member was sent a newer join order that got no answer and may still be carried out, even seconds
// later. Opening the replica would be unsafe: the member could leave it for the newer group.
bool ReplicaPlanner::hasPendingNewerJoin(const ReplicaView& replica) const
{
    return std::any_of(replica.members.begin(), replica.members.end(), [&](const EndpointInfo* member) { return member && engines_.at(member->id).pendingJoinEpoch > replica.epoch; });
}

// Returns whether an earlier planner formed the replica. Its members may still carry out newer joins of that planner, which
// this one does not know of. Once they have joined a group of this term, they refuse all orders of earlier terms.
bool ReplicaPlanner::isOfEarlierTerm(const ReplicaView& replica) const
{
    return replica.epoch < firstEpochOf(term_);
}

// Frees the members of a replica that are outside of the evacuated failure domain, after the running requests. One that is
// entirely inside is left as it is.
void ReplicaPlanner::vacateReplica(const ReplicaView& replica, std::vector<EngineOrder>& orders)
{
    if (std::any_of(replica.members.begin(), replica.members.end(), [](const EndpointInfo* member) { return member && !member->isEvacuated; }))
        drainReplica(replica, orders);
}

// Closes a replica, and dissolves it when its running requests have finished or the drain timeout is over.
void ReplicaPlanner::drainReplica(const ReplicaView& replica, std::vector<EngineOrder>& orders)
{
    if (!replica.isWhole()) {
        dissolveReplica(replica, orders); // an incomplete replica runs no requests
        return;
    }
    ReplicaPlan& plan = plans_.at(replica.group);
    const EndpointInfo* head = replica.head();
    const MemberState state = head->membership->state;
    const Millis now = options_.clock();
    if (plan.closedAt == never) {
        plan.closedAt = now;
        if (state == MemberState::Open && !head->isEvacuated)
            orders.push_back(makeOrder(EngineOrderKind::Close, engines_.at(head->id), replica.group, replica.epoch));
        return;
    }
    // Until the engine's report reflects the close order, its state is still Open.
    const bool isDraining = state == MemberState::Closing || state == MemberState::Open;
    if (!isDraining || now - plan.closedAt >= options_.drainTimeout)
        dissolveReplica(replica, orders);
}

// Orders the members to leave, the head first: while the head is open, the others must not join another group.
void ReplicaPlanner::dissolveReplica(const ReplicaView& replica, std::vector<EngineOrder>& orders)
{
    for (const EndpointInfo* member : replica.members) {
        if (!member || !canOrder(member->id, options_.orderRetryInterval))
            continue;
        Engine& engine = engines_.at(member->id);
        engine.lastOrderAt = options_.clock();
        orders.push_back(makeOrder(EngineOrderKind::Leave, engine, replica.group, replica.epoch));
    }
}

bool ReplicaPlanner::isFree(const Engine& engine) const
{
    return !engine.isDead && !engine.isUnlisted && !engine.info.isLeaving && !engine.info.isEvacuated && !engine.info.membership;
}

bool ReplicaPlanner::hasCopy(const Engine& engine, const std::string& model) const
{
    const std::vector<std::string>& staged = engine.info.staged;
    return std::find(staged.begin(), staged.end(), model) != staged.end();
}

bool ReplicaPlanner::isWarm(const Engine& engine, const std::string& model) const
{
    return engine.lastModel == model || hasCopy(engine, model);
}

const ReplicaModel* ReplicaPlanner::modelOf(const Engine& engine) const
{
    if (!engine.info.membership)
        return nullptr;
    const auto plan = plans_.find(engine.info.membership->group);
    return plan == plans_.end() ? nullptr : profile_.findModel(plan->second.model);
}

bool ReplicaPlanner::isServing(const Engine& engine) const
{
    return !engine.isDead && !engine.isUnlisted && !engine.info.isLeaving && engine.info.membership
        && (engine.info.membership->state == MemberState::Open || engine.info.membership->state == MemberState::Ready);
}

void ReplicaPlanner::updateDomains()
{
    for (auto& [fabric, domain] : domains_)
        domain.engines.clear();
    for (auto& [id, engine] : engines_) {
        if (!engine.info.isEvacuated)
            domains_[engine.info.fabric].engines.push_back(&engine);
    }
    std::erase_if(domains_, [](const auto& entry) { return entry.second.engines.empty(); });
}

std::string ReplicaPlanner::describeIdleEngines() const
{
    std::map<std::string, size_t> counts;
    for (const auto& [id, engine] : engines_) {
        if (engine.info.membership)
            continue;
        if (engine.info.isEvacuated)
            ++counts["evacuated"];
        else if (engine.isDead)
            ++counts["dead"];
        else if (!engine.stagingModel.empty())
            ++counts[engine.stagingModel + "(loading)"];
        else
            ++counts[engine.info.staged.empty() ? "none" : engine.info.staged.front()];
    }
    std::string text;
    for (const auto& [copy, count] : counts)
        absl::StrAppend(&text, text.empty() ? "" : ";", copy, ":", count);
    return text;
}

// Counts the engines in whole replicas by model, those being formed included.
void ReplicaPlanner::updateCounts()
{
    engineCounts_.clear();
    wholeGroups_.clear();
    for (const ReplicaView& replica : findReplicas()) {
        if (!replica.isWhole() || replica.hasEvacuatedMember)
            continue;
        engineCounts_[replica.model] += effectiveEngines(plans_.at(replica.group), *profile_.findModel(replica.model));
        wholeGroups_.insert(replica.group);
    }
}

// Returns the number of engines of smaller replicas that are expected to hold a copy of a large model once copies have
// been staged. They are as good as engines of the model. A fabric domain that leaves engines over has its spares there.
double ReplicaPlanner::expectedSpares(const ReplicaModel& model) const
{
    if (!isLarge(model))
        return 0;
    const auto smallest = std::min_element(profile_.models.begin(), profile_.models.end(), [](const ReplicaModel& one, const ReplicaModel& other) { return one.size < other.size; });
    double spares = 0;
    for (const auto& [fabric, domain] : domains_) {
        const size_t leftOver = domain.engines.size() % smallest->size;
        spares += static_cast<double>(options_.targetSpares - std::min(options_.targetSpares, leftOver));
    }
    return spares;
}

double ReplicaPlanner::enginesFor(const std::string& model) const
{
    const auto found = engineCounts_.find(model);
    return found == engineCounts_.end() ? 0 : found->second;
}

// Returns the models ordered by how much they need another replica: the one with the fewest engines relative to
// its fraction of the work comes first.
std::vector<const ReplicaModel*> ReplicaPlanner::modelsByNeed() const
{
    std::vector<const ReplicaModel*> models;
    for (const ReplicaModel& model : profile_.models)
        models.push_back(&model);
    const auto need = [&](const ReplicaModel* model) {
        const double engines = enginesFor(model->name) + (hasTraffic_ ? 0 : expectedSpares(*model)) + static_cast<double>(model->size) / 2;
        return engines / std::max(0.01, model->workFraction);
    };
    std::stable_sort(models.begin(), models.end(), [&](const ReplicaModel* one, const ReplicaModel* other) { return need(one) < need(other); });
    return models;
}

// Returns the number of loads from the weight store in progress.
size_t ReplicaPlanner::countActiveLoads() const
{
    return static_cast<size_t>(std::count_if(engines_.begin(), engines_.end(), [](const auto& entry) { return !entry.second.stagingModel.empty(); }));
}

bool ReplicaPlanner::isInitialFormation() const
{
    return !hasTraffic_ && std::all_of(engines_.begin(), engines_.end(), [](const auto& entry) { return entry.second.info.staged.empty() && !entry.second.info.membership; });
}

void ReplicaPlanner::formReplicas(std::vector<EngineOrder>& orders)
{
    // The first replicas are formed when all engines are known: loads are fast before traffic starts.
    if (isInitialFormation() && options_.clock() - lastEngineAddedAt_ < options_.discoveryQuietTime)
        return;
    if (hasTraffic_ && options_.clock() - termStartedAt_ < options_.takeoverDelay)
        return;
    std::map<std::string, FreeEngines> leftOver; // by failure domain
    for (const auto& [fabric, domain] : domains_) {
        FreeEngines free;
        std::copy_if(domain.engines.begin(), domain.engines.end(), std::back_inserter(free), [this](const Engine* engine) { return isFree(*engine); });
        while (!free.empty() && formReplicaIn(fabric, free, orders)) { }
        for (const Engine* engine : free)
            leftOver[engine->info.domain].push_back(engine);
    }
    formSpanningReplicas(leftOver, orders);
}

// Forms one replica from the free engines of a fabric domain. Returns false if none can be formed. Engines that are
// reserved for a replica that is about to be completed are removed from `free`.
bool ReplicaPlanner::formReplicaIn(const std::string& fabric, FreeEngines& free, std::vector<EngineOrder>& orders)
{
    for (const ReplicaModel* model : modelsByNeed()) {
        // Engines that are warm for no other model come first, so that the others can still serve either.
        const auto preference = [&](const Engine* engine) {
            const bool servesOthers = std::any_of(profile_.models.begin(), profile_.models.end(), [&](const ReplicaModel& other) { return other.name != model->name && isWarm(*engine, other.name); });
            return std::pair((isWarm(*engine, model->name) ? 0 : 4) + (servesOthers ? 2 : 0) + (engine->lastModel == model->name ? 0 : 1), isCold(*engine));
        };
        std::stable_sort(free.begin(), free.end(), [&](const Engine* one, const Engine* other) { return preference(one) < preference(other); });
        const auto warm = static_cast<size_t>(std::count_if(free.begin(), free.end(), [&](const Engine* engine) { return isWarm(*engine, model->name); }));
        if (warm >= model->size || (!hasTraffic_ && free.size() >= model->size)) {
            FreeEngines members(free.begin(), free.begin() + static_cast<ptrdiff_t>(model->size));
            chooseHead(members);
            free.erase(free.begin(), free.begin() + static_cast<ptrdiff_t>(model->size));
            createReplica(fabric, *model, members, orders);
            return true;
        }
        if (warm > 0 && completesSoon(*model, fabric, free, orders))
            free.erase(free.begin(), free.begin() + static_cast<ptrdiff_t>(warm));
    }
    return false;
}

bool ReplicaPlanner::isCold(const Engine& engine) const
{
    return options_.clock() < engine.info.coldUntil(coldTime_);
}

// Puts the first member that is not cold in front: the head gets all requests of its replica.
void ReplicaPlanner::chooseHead(FreeEngines& members) const
{
    const auto head = std::find_if(members.begin(), members.end(), [this](const Engine* engine) { return !isCold(*engine); });
    if (head != members.end())
        std::rotate(members.begin(), head, std::next(head));
}

void ReplicaPlanner::createReplica(const std::string& fabric, const ReplicaModel& model, const FreeEngines& members, std::vector<EngineOrder>& orders)
{
    const Millis now = options_.clock();
    const uint64_t epoch = ++lastEpoch_;
    ReplicaPlan plan { .group = absl::StrCat("g", term_, "-", epoch), .model = model.name, .fabric = fabric, .epoch = epoch, .startedAt = now };
    for (const Engine* member : members) {
        plan.members.push_back(member->info.id);
        plan.isSpanning = plan.isSpanning || member->info.fabric != fabric;
    }
    for (size_t rank = 0; rank < members.size(); ++rank) {
        EngineOrder order = makeOrder(EngineOrderKind::Join, *members[rank], plan.group, epoch);
        order.model = model.name;
        order.members = plan.members;
        orders.push_back(std::move(order));
        Engine& engine = engines_.at(members[rank]->info.id);
        engine.orderedMembership = Membership { .group = plan.group, .epoch = epoch, .rank = rank, .state = MemberState::Joining };
        engine.info.membership = engine.orderedMembership;
        engine.isJoinAccepted = false;
        engine.joinOrderedAt = now;
        engine.lastOrderAt = now;
        engine.pendingJoinEpoch = epoch;
    }
    engineCounts_[model.name] += effectiveEngines(plan, model);
    plans_[plan.group] = std::move(plan);
}

} // namespace hemlockweir
