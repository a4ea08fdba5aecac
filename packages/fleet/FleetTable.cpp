#include "fleet/FleetTable.h"

#include <algorithm>
#include <set>

namespace hemlockweir {

static std::string suspicionKey(const std::string& group, uint64_t epoch)
{
    return group + '#' + std::to_string(epoch);
}

FleetTable::FleetTable(Options options)
    : options_(std::move(options))
{
}

void FleetTable::setInstances(const std::vector<Instance>& instances)
{
    std::lock_guard lock(mutex_);
    std::set<std::string> listed;
    for (const Instance& instance : instances) {
        listed.insert(instance.id);
        instances_[instance.id].instance = instance;
    }
    std::erase_if(instances_, [&](const auto& entry) { return !listed.contains(entry.first); });
}

void FleetTable::setStatus(const std::string& id, const InstanceStatus& status, Millis seenAt)
{
    std::lock_guard lock(mutex_);
    const auto found = instances_.find(id);
    if (found == instances_.end() || found->second.seenAt > seenAt)
        return;
    found->second.status = status;
    found->second.seenAt = seenAt;
}

void FleetTable::dropStatus(const std::string& id)
{
    std::lock_guard lock(mutex_);
    const auto found = instances_.find(id);
    if (found != instances_.end())
        found->second.status.reset();
}

void FleetTable::setRemoteReplica(const std::string& observer, const Replica& replica)
{
    std::lock_guard lock(mutex_);
    RemoteReplica& known = remote_[replica.group];
    if (known.replica.epoch > replica.epoch)
        return;
    known = { .observer = observer, .replica = replica };
}

void FleetTable::dropRemoteReplica(const std::string& group)
{
    std::lock_guard lock(mutex_);
    remote_.erase(group);
}

void FleetTable::suspectGroup(const std::string& group, uint64_t epoch)
{
    std::lock_guard lock(mutex_);
    suspectedAt_[suspicionKey(group, epoch)] = options_.clock();
}

GroupCondition FleetTable::checkGroup(const InstanceView& leader, Millis now) const
{
    const InstanceStatus& claim = *leader.status;
    GroupCondition condition { .group = claim.group, .epoch = claim.epoch, .model = claim.model, .domain = leader.instance.domain, .members = claim.members, .whole = false, .reason = {}, .replica = {} };
    Millis oldest = leader.seenAt;
    for (const std::string& id : claim.members) {
        const auto found = instances_.find(id);
        if (found == instances_.end()) {
            condition.reason = "member " + id + " is not listed";
            return condition;
        }
        const InstanceView& member = found->second;
        if (!member.status || now - member.seenAt > options_.freshness) {
            condition.reason = "member " + id + " does not report";
            return condition;
        }
        if (member.status->group != claim.group || member.status->epoch != claim.epoch || member.status->members != claim.members) {
            condition.reason = "member " + id + " reports another group or epoch";
            return condition;
        }
        if (member.status->state != EngineState::Ready) {
            condition.reason = "member " + id + " is " + stateName(member.status->state);
            return condition;
        }
        if (member.status->leaving || member.instance.leaving) {
            condition.reason = "member " + id + " is leaving";
            return condition;
        }
        oldest = std::min(oldest, member.seenAt);
    }
    const auto suspicion = suspectedAt_.find(suspicionKey(claim.group, claim.epoch));
    if (suspicion != suspectedAt_.end() && oldest <= suspicion->second) {
        condition.reason = "a request on it failed after the last report";
        return condition;
    }
    condition.whole = true;
    condition.replica = { .group = claim.group, .epoch = claim.epoch, .model = claim.model, .domain = leader.instance.domain, .leader = leader.instance.address, .slots = claim.slots, .running = claim.running, .waiting = claim.waiting, .reportedAt = oldest };
    return condition;
}

std::vector<GroupCondition> FleetTable::checkGroups(Millis now) const
{
    std::vector<GroupCondition> conditions;
    for (const auto& [id, view] : instances_) {
        const bool leads = view.status && !view.status->members.empty() && view.status->members.front() == id;
        if (leads)
            conditions.push_back(checkGroup(view, now));
    }
    return conditions;
}

std::vector<Replica> FleetTable::findReplicas(const std::string& model) const
{
    std::lock_guard lock(mutex_);
    const Millis now = options_.clock();
    std::vector<Replica> replicas;
    for (const GroupCondition& condition : checkGroups(now)) {
        if (condition.whole && condition.model == model)
            replicas.push_back(condition.replica);
    }
    for (const auto& [group, remote] : remote_) {
        const Replica& replica = remote.replica;
        const bool isKnown = std::any_of(replicas.begin(), replicas.end(), [&](const Replica& other) { return other.group == replica.group; });
        const auto suspicion = suspectedAt_.find(suspicionKey(group, replica.epoch));
        const bool isSuspect = suspicion != suspectedAt_.end() && replica.reportedAt <= suspicion->second;
        if (!isKnown && !isSuspect && replica.model == model && now - replica.reportedAt <= options_.freshness)
            replicas.push_back(replica);
    }
    return replicas;
}

std::optional<Replica> FleetTable::findReplica(const std::string& group, uint64_t epoch) const
{
    std::lock_guard lock(mutex_);
    for (const GroupCondition& condition : checkGroups(options_.clock())) {
        if (condition.whole && condition.group == group && condition.epoch == epoch)
            return condition.replica;
    }
    const auto remote = remote_.find(group);
    if (remote != remote_.end() && remote->second.replica.epoch == epoch && options_.clock() - remote->second.replica.reportedAt <= options_.freshness)
        return remote->second.replica;
    return std::nullopt;
}

std::vector<Instance> FleetTable::findPlainInstances(const std::string& pool) const
{
    std::lock_guard lock(mutex_);
    const Millis now = options_.clock();
    std::vector<Instance> found;
    for (const auto& [id, view] : instances_) {
        const bool isFresh = view.status && now - view.seenAt <= options_.freshness;
        if (view.instance.pool == pool && isFresh && !view.instance.leaving && !view.status->leaving)
            found.push_back(view.instance);
    }
    return found;
}

std::vector<InstanceView> FleetTable::instances() const
{
    std::lock_guard lock(mutex_);
    std::vector<InstanceView> all;
    for (const auto& [id, view] : instances_)
        all.push_back(view);
    return all;
}

std::vector<GroupCondition> FleetTable::groups() const
{
    std::lock_guard lock(mutex_);
    return checkGroups(options_.clock());
}

} // namespace hemlockweir
