#include "fleet/FleetTable.h"

#include <algorithm>

namespace hemlockweir {

// How long a peer's set of draining instances is valid. Peers repeat it with every heartbeat.
static constexpr Millis drainingRetention { 5000 };
// How long a suspicion is stored. Reports of live members are much newer by then, so it no longer
// has an effect.
static constexpr Millis suspicionRetention { 60000 };

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
    if (*listed_ != instances)
        replaceList(instances);
    const Millis now = options_.clock();
    remote_.prune(now);
    std::erase_if(suspectedAt_, [&](const auto& entry) { return now - entry.second > suspicionRetention; });
}

void FleetTable::replaceList(const std::vector<Instance>& instances)
{
    listed_ = std::make_shared<std::vector<Instance>>(instances);
    domains_.clear();
    std::set<std::string> ids;
    for (const Instance& instance : instances) {
        ids.insert(instance.id);
        domains_.insert(instance.domain);
        const auto [entry, isNew] = instances_.try_emplace(instance.id);
        entry->second.view.instance = instance;
        if (isNew)
            entry->second.listedAt = options_.clock();
    }
    std::erase_if(instances_, [&](const auto& entry) { return !ids.contains(entry.first); });
}

std::shared_ptr<const std::vector<Instance>> FleetTable::listed() const
{
    std::lock_guard lock(mutex_);
    return listed_;
}

std::set<std::string> FleetTable::domains() const
{
    std::lock_guard lock(mutex_);
    return domains_;
}

void FleetTable::setObserved(const std::set<std::string>& ids)
{
    std::lock_guard lock(mutex_);
    for (auto& [id, entry] : instances_) {
        const bool isObserved = ids.contains(id);
        if (isObserved && !entry.isObserved)
            entry.observedSince = options_.clock();
        entry.isObserved = isObserved;
    }
}

std::vector<std::string> FleetTable::observed() const
{
    std::lock_guard lock(mutex_);
    std::vector<std::string> ids;
    for (const auto& [id, entry] : instances_) {
        if (entry.isObserved)
            ids.push_back(id);
    }
    return ids;
}

void FleetTable::setStatus(const std::string& id, const InstanceStatus& status, Millis polledAt)
{
    std::lock_guard lock(mutex_);
    const auto found = instances_.find(id);
    if (found == instances_.end() || found->second.view.polledAt > polledAt)
        return;
    found->second.view.status = status;
    found->second.view.polledAt = polledAt;
}

void FleetTable::dropStatus(const std::string& id)
{
    std::lock_guard lock(mutex_);
    const auto found = instances_.find(id);
    if (found == instances_.end())
        return;
    found->second.view.status.reset();
    found->second.failedAt = options_.clock();
}

// Returns whether peers' reports about an instance are ignored, because this node has polled it
// itself for longer than the freshness period.
bool FleetTable::trustsOnlyOwnPolls(const Entry& entry) const
{
    return entry.isObserved && options_.clock() - entry.observedSince > options_.freshness;
}

void FleetTable::applyReport(Entry& entry, const InstanceStatus& status, Millis polledAt) const
{
    InstanceView& view = entry.view;
    const bool isNewer = polledAt > view.polledAt && polledAt > entry.failedAt;
    if (!isNewer || trustsOnlyOwnPolls(entry))
        return;
    if (!view.status || !equalsIgnoringLoad(*view.status, status))
        view.status = status;
    view.polledAt = polledAt;
}

void FleetTable::applyPeerStatus(const std::string& id, const InstanceStatus& status, Millis polledAt)
{
    std::lock_guard lock(mutex_);
    if (const auto found = instances_.find(id); found != instances_.end())
        applyReport(found->second, status, polledAt);
}

void FleetTable::applyPeerFailure(const std::string& id, Millis failedAt)
{
    std::lock_guard lock(mutex_);
    const auto found = instances_.find(id);
    if (found == instances_.end() || trustsOnlyOwnPolls(found->second))
        return;
    Entry& entry = found->second;
    entry.failedAt = std::max(entry.failedAt, failedAt);
    if (entry.view.polledAt <= failedAt)
        entry.view.status.reset();
}

void FleetTable::confirmStatuses(const std::map<std::string, InstanceStatus>& statuses, const std::vector<uint16_t>& late, Millis polledAt)
{
    std::lock_guard lock(mutex_);
    size_t index = 0;
    for (const auto& [id, status] : statuses) {
        const bool isLate = std::find(late.begin(), late.end(), index++) != late.end();
        if (const auto found = instances_.find(id); found != instances_.end() && !isLate)
            applyReport(found->second, status, polledAt);
    }
}

void FleetTable::applyPeerLoad(const std::string& id, const InstanceLoad& load)
{
    std::lock_guard lock(mutex_);
    const auto found = instances_.find(id);
    if (found == instances_.end() || !found->second.view.status || trustsOnlyOwnPolls(found->second))
        return;
    InstanceStatus& status = *found->second.view.status;
    status.running = load.running;
    status.waiting = load.waiting;
    status.stepMs = load.stepMs;
}

std::set<std::string> FleetTable::findStale(Millis minAge, Millis maxAge) const
{
    std::lock_guard lock(mutex_);
    const Millis now = options_.clock();
    std::set<std::string> stale;
    for (const auto& [id, entry] : instances_) {
        const Millis age = now - std::max(entry.view.polledAt, entry.listedAt);
        if (age > minAge && age <= maxAge)
            stale.insert(id);
    }
    return stale;
}

void FleetTable::setRemoteGroup(const RemoteGroup& row)
{
    std::lock_guard lock(mutex_);
    remote_.apply(row);
}

void FleetTable::setDraining(const std::set<std::string>& ids)
{
    std::lock_guard lock(mutex_);
    draining_ = ids;
}

std::set<std::string> FleetTable::localDraining() const
{
    std::lock_guard lock(mutex_);
    return draining_;
}

void FleetTable::setRemoteDraining(const std::string& observer, const std::vector<std::string>& ids, Millis sentAt)
{
    std::lock_guard lock(mutex_);
    RemoteDraining& known = remoteDraining_[observer];
    if (sentAt >= known.sentAt)
        known = { .ids = { ids.begin(), ids.end() }, .sentAt = sentAt };
}

void FleetTable::suspectGroup(const std::string& group, uint64_t epoch)
{
    std::lock_guard lock(mutex_);
    suspectedAt_[suspicionKey(group, epoch)] = options_.clock();
}

bool FleetTable::isDraining(const std::string& id) const
{
    const Millis now = options_.clock();
    return draining_.contains(id) || std::any_of(remoteDraining_.begin(), remoteDraining_.end(), [&](const auto& entry) {
        return now - entry.second.sentAt <= drainingRetention && entry.second.ids.contains(id);
    });
}

bool FleetTable::isSuspect(const std::string& group, uint64_t epoch, Millis reportedAt) const
{
    const auto found = suspectedAt_.find(suspicionKey(group, epoch));
    return found != suspectedAt_.end() && reportedAt <= found->second;
}

// Returns why a member keeps its group from being whole, or an empty string if it does not.
std::string FleetTable::checkMember(const std::string& id, const InstanceStatus& leaderStatus, Millis now) const
{
    const auto found = instances_.find(id);
    if (found == instances_.end())
        return "member " + id + " is not listed";
    const InstanceView& member = found->second.view;
    if (!member.status || now - member.polledAt > options_.freshness)
        return "member " + id + " does not report";
    if (!member.status->isInGroupOf(leaderStatus))
        return "member " + id + " reports another group or epoch";
    if (member.status->state != EngineState::Ready)
        return "member " + id + " is " + stateName(member.status->state);
    if (member.isLeaving() || isDraining(id))
        return "member " + id + " is leaving";
    return {};
}

GroupCondition FleetTable::checkGroup(const InstanceView& leader, Millis now) const
{
    const InstanceStatus& leaderStatus = *leader.status;
    GroupCondition condition { .group = leaderStatus.group, .epoch = leaderStatus.epoch, .model = leaderStatus.model, .domain = leader.instance.domain, .members = leaderStatus.members, .whole = false, .reason = {}, .replica = {}, .observer = {} };
    if (std::set(leaderStatus.members.begin(), leaderStatus.members.end()).size() != leaderStatus.members.size()) {
        condition.reason = "a member is named twice";
        return condition;
    }
    Millis oldest = leader.polledAt;
    for (const std::string& id : leaderStatus.members) {
        condition.reason = checkMember(id, leaderStatus, now);
        if (!condition.reason.empty())
            return condition;
        oldest = std::min(oldest, instances_.at(id).view.polledAt);
    }
    if (isSuspect(leaderStatus.group, leaderStatus.epoch, oldest)) {
        condition.reason = "a request on it failed after the last report";
        return condition;
    }
    condition.whole = true;
    condition.replica = { .group = leaderStatus.group, .epoch = leaderStatus.epoch, .model = leaderStatus.model, .domain = leader.instance.domain, .leader = leader.instance.address, .slots = leaderStatus.slots, .running = leaderStatus.running, .waiting = leaderStatus.waiting, .reportedAt = oldest };
    return condition;
}

std::vector<GroupCondition> FleetTable::checkGroups(Millis now) const
{
    std::vector<GroupCondition> conditions;
    for (const auto& [id, entry] : instances_) {
        const InstanceView& view = entry.view;
        // A stale status of an instance that this node no longer polls is a leftover: another node
        // polls the instance now.
        const bool isCurrent = view.status && (entry.isObserved || now - view.polledAt <= options_.freshness);
        const bool isLeader = isCurrent && !view.status->members.empty() && view.status->members.front() == id;
        if (isLeader)
            conditions.push_back(checkGroup(view, now));
    }
    return conditions;
}

// Returns whether this node's own view of a member contradicts the row that a peer published for
// its group.
bool FleetTable::contradicts(const Entry& entry, const RemoteGroup& group, Millis now) const
{
    const InstanceView& view = entry.view;
    if (view.isLeaving() || isDraining(view.instance.id) || entry.failedAt >= group.reportedAt)
        return true;
    if (view.status && now - view.polledAt <= options_.freshness) {
        const InstanceStatus& status = *view.status;
        return status.state != EngineState::Ready || status.group != group.group || status.epoch != group.epoch || status.members != group.members;
    }
    return entry.isObserved && now - entry.observedSince > options_.freshness;
}

std::optional<GroupCondition> FleetTable::checkRemoteGroup(const RemoteGroup& group, Millis now) const
{
    if (group.members.empty() || isSuspect(group.group, group.epoch, group.reportedAt))
        return std::nullopt;
    for (const std::string& id : group.members) {
        const auto found = instances_.find(id);
        if (found == instances_.end() || contradicts(found->second, group, now))
            return std::nullopt;
    }
    const Instance& leader = instances_.at(group.members.front()).view.instance;
    return GroupCondition { .group = group.group,
        .epoch = group.epoch,
        .model = group.model,
        .domain = group.domain,
        .members = group.members,
        .whole = true,
        .reason = {},
        .replica = { .group = group.group, .epoch = group.epoch, .model = group.model, .domain = group.domain, .leader = leader.address, .slots = group.slots, .running = group.running, .waiting = group.waiting, .reportedAt = group.reportedAt },
        .observer = group.observer };
}

std::vector<GroupCondition> FleetTable::checkRemoteGroups(Millis now) const
{
    std::vector<GroupCondition> conditions;
    for (const RemoteGroup& group : remote_.current(now, options_.freshness)) {
        if (std::optional<GroupCondition> condition = checkRemoteGroup(group, now))
            conditions.push_back(*std::move(condition));
    }
    return conditions;
}

// Returns each whole group once. If this node observes a group itself, checkRemoteGroup() has
// compared the peer's row with that view: both agree, or the row was left out.
std::vector<Replica> FleetTable::wholeReplicas() const
{
    const Millis now = options_.clock();
    std::map<std::string, Replica> replicas;
    for (const GroupCondition& condition : checkGroups(now)) {
        if (condition.whole)
            replicas.try_emplace(condition.group, condition.replica);
    }
    for (const GroupCondition& condition : checkRemoteGroups(now))
        replicas.try_emplace(condition.group, condition.replica);
    std::vector<Replica> all;
    all.reserve(replicas.size());
    for (auto& [group, replica] : replicas)
        all.push_back(std::move(replica));
    return all;
}

std::vector<Replica> FleetTable::findReplicas(const std::string& model) const
{
    std::lock_guard lock(mutex_);
    std::vector<Replica> replicas = wholeReplicas();
    std::erase_if(replicas, [&](const Replica& replica) { return replica.model != model; });
    return replicas;
}

std::optional<Replica> FleetTable::findReplica(const std::string& group, uint64_t epoch) const
{
    std::lock_guard lock(mutex_);
    for (const Replica& replica : wholeReplicas()) {
        if (replica.group == group && replica.epoch == epoch)
            return replica;
    }
    return std::nullopt;
}

std::vector<Instance> FleetTable::findPlainInstances(const std::string& pool) const
{
    std::lock_guard lock(mutex_);
    const Millis now = options_.clock();
    std::vector<Instance> found;
    for (const auto& [id, entry] : instances_) {
        const InstanceView& view = entry.view;
        const bool isFresh = view.status && now - view.polledAt <= options_.freshness;
        if (view.instance.pool == pool && isFresh && !view.isLeaving() && !isDraining(id))
            found.push_back(view.instance);
    }
    return found;
}

std::vector<InstanceView> FleetTable::instances() const
{
    std::lock_guard lock(mutex_);
    std::vector<InstanceView> all;
    for (const auto& [id, entry] : instances_) {
        all.push_back(entry.view);
        all.back().draining = isDraining(id);
    }
    return all;
}

std::vector<GroupCondition> FleetTable::groups() const
{
    std::lock_guard lock(mutex_);
    return checkGroups(options_.clock());
}

std::vector<GroupCondition> FleetTable::remoteGroups() const
{
    std::lock_guard lock(mutex_);
    const Millis now = options_.clock();
    std::set<std::string> own;
    for (const GroupCondition& condition : checkGroups(now))
        own.insert(condition.group);
    std::vector<GroupCondition> remotes = checkRemoteGroups(now);
    std::erase_if(remotes, [&](const GroupCondition& condition) { return own.contains(condition.group); });
    return remotes;
}

} // namespace hemlockweir
