#include "replicas/ReplicaPlanner.h"

#include <algorithm>
#include <cmath>

// The part of ReplicaPlanner that decides what to believe of the engines, from the list, their own reports and the results
// of orders.

namespace hemlockweir {

// A load that takes longer than this multiple of its usual time is treated as failed.
static constexpr int loadTimeoutFactor = 2;
// Delay before an open order that had no effect is repeated.
static constexpr Millis openRetryDelay { 300 };

void ReplicaPlanner::setEngines(const std::vector<EndpointInfo>& engines, const EngineProfile& profile)
{
    profile_ = profile;
    const Millis now = options_.clock();
    std::set<std::string> seen;
    std::set<std::string> evacuated; // failure domains
    for (const EndpointInfo& info : engines) {
        seen.insert(info.id);
        if (info.isEvacuated)
            evacuated.insert(info.domain);
        const auto [it, isNew] = engines_.try_emplace(info.id);
        Engine& engine = it->second;
        const bool hasRestarted = !isNew && engine.info.startedAtMs != info.startedAtMs;
        if (isNew || hasRestarted) {
            engine = Engine {};
            lastEngineAddedAt_ = now;
        }
        engine.isUnlisted = false;
        engine.info = info;
        engine.reportedMembership = info.membership;
        engine.info.membership = believe(engine, options_);
        if (!info.model.empty())
            engine.lastModel = info.model;
        const ReplicaModel* stagingModel = profile_.findModel(engine.stagingModel);
        if (!stagingModel || hasCopy(engine, engine.stagingModel) || now - engine.stagingStartedAt >= stagingModel->loadTime * loadTimeoutFactor)
            engine.stagingModel.clear();
        // No planner up to this one can have given an epoch of a later term. Taking one over would use up the epochs.
        if (info.membership && info.membership->epoch < firstEpochOf(term_ + 1))
            lastEpoch_ = std::max(lastEpoch_, info.membership->epoch);
    }
    removeMissing(seen);
    // What was read last of an engine that is no longer listed may be from before an evacuation, or from within one.
    for (auto& [id, engine] : engines_) {
        if (engine.isUnlisted)
            engine.info.isEvacuated = evacuated.contains(engine.info.domain);
    }
    updatePlans();
}

// Returns the membership to assume for an engine. The list lags behind orders, for as long as the engine can't reach the
// platform's store: an entry with an older membership, or with none, does not undo a join that the engine accepted, and one
// of a group that it left does not bring that group back. Epochs tell which is older, because an engine never joins a group
// with a lower epoch. Only the engine itself may contradict an accepted join (noteReport).
std::optional<Membership> ReplicaPlanner::believe(Engine& engine, const Options& options)
{
    const std::optional<Membership>& reported = engine.reportedMembership;
    const bool isReportValid = reported && reported->epoch > engine.leftEpoch;
    std::optional<Membership>& ordered = engine.orderedMembership;
    if (ordered) {
        const bool isSuperseded = ordered->epoch <= engine.leftEpoch || (isReportValid && reported->epoch >= ordered->epoch);
        const bool isExpired = !engine.isJoinAccepted && options.clock() - engine.joinOrderedAt > options.orderTrustTime;
        if (isSuperseded || isExpired)
            ordered.reset();
    }
    if (ordered)
        return ordered;
    return isReportValid ? reported : std::nullopt;
}

// Applies the passing of time to what is believed of each engine.
void ReplicaPlanner::refreshBeliefs()
{
    for (auto& [id, engine] : engines_) {
        engine.info.membership = believe(engine, options_);
        if (!std::exchange(engine.wasFree, isFree(engine)))
            engine.freeSince = options_.clock();
    }
    updatePlans();
}

void ReplicaPlanner::removeMissing(const std::set<std::string>& listed)
{
    for (auto it = engines_.begin(); it != engines_.end();) {
        if (listed.count(it->first) > 0) {
            ++it;
            continue;
        }
        it->second.isUnlisted = servesUnlisted(it->second, listed);
        it = it->second.isUnlisted ? std::next(it) : engines_.erase(it);
    }
}

// Returns whether an engine that is missing from the list still serves in a replica: the head of its group, which
// receives the requests, is listed and open.
bool ReplicaPlanner::servesUnlisted(const Engine& engine, const std::set<std::string>& listed) const
{
    if (engine.isDead || engine.info.isLeaving || !engine.info.membership)
        return false;
    const auto plan = plans_.find(engine.info.membership->group);
    if (plan == plans_.end() || plan->second.members.empty() || plan->second.closedAt != never)
        return false;
    const std::string& headId = plan->second.members.front();
    const auto head = engines_.find(headId);
    return listed.count(headId) > 0 && head != engines_.end() && !head->second.isDead && head->second.info.membership
        && head->second.info.membership->group == plan->first && head->second.info.membership->state == MemberState::Open;
}

std::vector<EndpointInfo> ReplicaPlanner::findUnverified() const
{
    std::vector<EndpointInfo> unverified;
    for (const auto& [id, engine] : engines_) {
        if (engine.info.isEvacuated)
            continue;
        const bool isJoinUnreported = engine.orderedMembership && engine.isJoinAccepted && options_.clock() - engine.joinOrderedAt >= options_.reportDelay;
        if (engine.isUnlisted || engine.isDead || isJoinUnreported)
            unverified.push_back(engine.info);
    }
    return unverified;
}

bool ReplicaPlanner::noteReport(const std::string& engineId, const std::optional<Membership>& membership)
{
    const auto found = engines_.find(engineId);
    if (found == engines_.end())
        return false;
    Engine& engine = found->second;
    std::optional<Membership>& ordered = engine.orderedMembership;
    if (!ordered || !engine.isJoinAccepted)
        return false;
    const bool isMember = membership && ordered->group == membership->group && ordered->epoch == membership->epoch;
    if (!isMember && options_.clock() - engine.joinOrderedAt < options_.acceptedTrustTime)
        return false;
    const bool isNews = ordered != membership;
    if (isMember) {
        ordered = membership;
        engine.joinOrderedAt = options_.clock();
    } else {
        ordered.reset();
    }
    engine.info.membership = believe(engine, options_);
    return isNews;
}

bool ReplicaPlanner::noteProbe(const std::string& engine, bool isAlive)
{
    const auto found = engines_.find(engine);
    return found != engines_.end() && std::exchange(found->second.isDead, !isAlive) == isAlive;
}

void ReplicaPlanner::noteUtilization(const std::map<std::string, double>& utilization)
{
    const Millis now = options_.clock();
    const auto age = static_cast<double>((now - std::exchange(utilizationNotedAt_, now)).count());
    const double newWeight = 1 - std::exp2(-age / static_cast<double>(options_.utilizationHalfLife.count()));
    for (const auto& [model, fraction] : utilization) {
        const auto [known, isNew] = utilization_.try_emplace(model, fraction);
        if (!isNew)
            known->second += newWeight * (fraction - known->second);
    }
}

// Adopts the groups that engines report, also those that another planner formed, and removes groups without members.
void ReplicaPlanner::updatePlans()
{
    const Millis now = options_.clock();
    std::set<std::string> activeGroups;
    for (const auto& [id, engine] : engines_) {
        if (!engine.info.membership)
            continue;
        const Membership& membership = *engine.info.membership;
        activeGroups.insert(membership.group);
        ReplicaPlan& plan = plans_[membership.group];
        if (plan.group.empty()) {
            plan.group = membership.group;
            plan.startedAt = now;
            plan.fabric = engine.info.fabric;
        }
        plan.isSpanning = plan.isSpanning || engine.info.fabric != plan.fabric;
        plan.epoch = std::max(plan.epoch, membership.epoch);
        if (plan.model.empty())
            plan.model = engine.info.model;
        if (membership.epoch == plan.epoch) {
            plan.members.resize(std::max(plan.members.size(), membership.rank + 1));
            plan.members[membership.rank] = id;
        }
    }
    std::erase_if(plans_, [&](const auto& entry) { return activeGroups.count(entry.first) == 0; });
}

// Records that an engine is in no group of this epoch any more. Its answer may belong to an order that it carried out
// before a newer join, so it says nothing about groups with a higher epoch; and an engine that never was a member may
// still be in another group.
void ReplicaPlanner::noteLeave(Engine& engine, uint64_t epoch)
{
    const bool wasReported = engine.reportedMembership && engine.reportedMembership->epoch == epoch;
    const bool wasOrdered = engine.orderedMembership && engine.orderedMembership->epoch == epoch && engine.isJoinAccepted;
    if (!wasReported && !wasOrdered)
        return;
    engine.leftEpoch = std::max(engine.leftEpoch, epoch);
    engine.lastOrderAt = options_.clock();
}

// A result changes only what its order was about: the engine may have got newer orders since.
void ReplicaPlanner::noteResult(const EngineOrder& order, OrderResult result)
{
    const auto found = engines_.find(order.engine);
    if (found == engines_.end())
        return;
    Engine& engine = found->second;
    const bool wasAccepted = result == OrderResult::Begun || result == OrderResult::Done;
    const bool isSameAddress = engine.info.address == order.address && engine.info.port == order.port;
    if (isSameAddress && (result == OrderResult::Unreachable || result == OrderResult::WrongEngine))
        engine.isDead = true;
    if (order.kind == EngineOrderKind::Leave && wasAccepted)
        noteLeave(engine, order.epoch);
    const bool isNewestJoin = order.kind == EngineOrderKind::Join && engine.orderedMembership && engine.orderedMembership->epoch == order.epoch;
    if (isNewestJoin && wasAccepted) {
        engine.isJoinAccepted = true;
        engine.joinOrderedAt = options_.clock();
    }
    // The join had no effect, so the reported state applies again at once.
    if (order.kind == EngineOrderKind::Join && !wasAccepted && result != OrderResult::Unknown) {
        if (isNewestJoin)
            engine.orderedMembership.reset();
        if (engine.pendingJoinEpoch == order.epoch)
            engine.pendingJoinEpoch = 0;
    }
    engine.info.membership = believe(engine, options_);
    if (order.kind == EngineOrderKind::Stage && engine.stagingModel == order.model && !wasAccepted && result != OrderResult::Unknown) {
        engine.stagingModel.clear();
        engine.stageRefusedAt = options_.clock();
    }
    if (order.kind == EngineOrderKind::Open && !wasAccepted) {
        const auto plan = plans_.find(order.group);
        if (plan != plans_.end())
            plan->second.openedAt = options_.clock() - options_.orderRetryInterval + openRetryDelay;
    }
}

} // namespace hemlockweir
