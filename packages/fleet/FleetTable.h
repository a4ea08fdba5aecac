#pragma once

#include "fleet/Instance.h"
#include "fleet/RemoteGroups.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>

// Stores the instances and groups that this node knows and decides which groups may serve requests.
// Shared by all threads of the node and thread-safe. Its mutex is a leaf lock: it may be locked
// while the scheduler's lock is held, and nothing else is locked under it.

namespace hemlockweir {

// A whole group, from the point of view of requests: one replica of a model.
struct Replica {
    std::string group;
    uint64_t epoch = 0;
    std::string model;
    std::string domain;
    std::string leader; // ADDRESS:PORT
    uint32_t slots = 0; // maximum concurrent requests
    uint32_t running = 0; // as reported
    uint32_t waiting = 0; // as reported
    Millis reportedAt { 0 }; // this node's clock; when the oldest member report behind it was polled

    auto operator<=>(const Replica&) const = default;
};

// The result of checking whether a group may serve requests.
struct GroupCondition {
    std::string group;
    uint64_t epoch = 0;
    std::string model;
    std::string domain;
    std::vector<std::string> members;
    bool whole = false;
    std::string reason; // empty when whole
    Replica replica; // valid only when whole
    std::string observer; // node that published the group; empty: this node
};

// One instance with its most recent status, if any.
struct InstanceView {
    Instance instance;
    std::optional<InstanceStatus> status;
    Millis polledAt { 0 }; // when the poll that returned the status was sent
    bool draining = false; // drained by an operator

    // Returns whether the instance must get no new work. One source is enough: the platform's list,
    // an operator's drain or the instance's own status.
    bool isLeaving() const { return instance.leaving || draining || (status && status->leaving); }
};

// Tracks the listed instances, their statuses, and the groups that this node or its peers observe.
class FleetTable {
public:
    struct Options {
        Millis freshness { 1500 }; // ms, maximum age of a member report
        Clock clock;
    };

    explicit FleetTable(Options options);

    // Replaces the list of instances. Drops the statuses of instances that are no longer listed.
    void setInstances(const std::vector<Instance>& instances);

    // Returns the current list, and the failure domains in it.
    std::shared_ptr<const std::vector<Instance>> listed() const;
    std::set<std::string> domains() const;

    // Stores the status that this node received from an instance. Ignored if `polledAt`, the time
    // at which the poll was sent, is older than the stored one.
    void setStatus(const std::string& id, const InstanceStatus& status, Millis polledAt);

    // Drops an instance's status at once, after a failed poll or request.
    void dropStatus(const std::string& id);

    // Applies a status, or a failure to reach an instance, that an observer in this failure domain
    // published. A status is ignored unless it is newer than the stored one and the last failure.
    // Both are ignored for an instance that this node has polled itself for longer than the
    // freshness period.
    void applyPeerStatus(const std::string& id, const InstanceStatus& status, Millis polledAt);
    void applyPeerFailure(const std::string& id, Millis failedAt);

    // Applies an observer's confirmation: these instances, except those at the indices `late`, were
    // polled at `polledAt` or later and still report these statuses.
    void confirmStatuses(const std::map<std::string, InstanceStatus>& statuses, const std::vector<uint16_t>& late, Millis polledAt);

    // Applies an instance's load that an observer published.
    void applyPeerLoad(const std::string& id, const InstanceLoad& load);

    // Returns the instances whose last report, or whose listing if there was none, is older than
    // `minAge` and not older than `maxAge`.
    std::set<std::string> findStale(Millis minAge, Millis maxAge) const;

    // Sets the instances that this node polls. For these, its own polls take precedence over peers'
    // reports.
    void setObserved(const std::set<std::string>& ids);

    std::vector<std::string> observed() const;

    // Applies a group row that another node published.
    void setRemoteGroup(const RemoteGroup& row);

    // Replaces the set of instances that operators drain, as this node read it from the platform.
    void setDraining(const std::set<std::string>& ids);
    std::set<std::string> localDraining() const;

    // Replaces the set of instances that operators drain, as a peer published it. Ignored if it is
    // older than the peer's stored set.
    void setRemoteDraining(const std::string& observer, const std::vector<std::string>& ids, Millis sentAt);

    // Excludes a group, because a request on it failed, until every member has reported again.
    void suspectGroup(const std::string& group, uint64_t epoch);

    // Returns the groups that can serve a request for the model now.
    std::vector<Replica> findReplicas(const std::string& model) const;

    // Returns the group as a replica if it still has this epoch and is whole.
    std::optional<Replica> findReplica(const std::string& group, uint64_t epoch) const;

    // Returns the instances of a plain pool that report freshly and are not leaving.
    std::vector<Instance> findPlainInstances(const std::string& pool) const;

    // Returns everything, for planning and reports.
    std::vector<InstanceView> instances() const;
    std::vector<GroupCondition> groups() const; // observed by this node
    std::vector<GroupCondition> remoteGroups() const; // whole groups that only peers observe

private:
    // An instance and the results of this node's own polls of it.
    struct Entry {
        InstanceView view;
        Millis listedAt { 0 };
        Millis observedSince { 0 };
        Millis failedAt { 0 }; // last time it was unreachable
        bool isObserved = false;
    };
    struct RemoteDraining {
        std::set<std::string> ids;
        Millis sentAt { 0 };
    };

    void replaceList(const std::vector<Instance>& instances);
    void applyReport(Entry& entry, const InstanceStatus& status, Millis polledAt) const;
    bool trustsOnlyOwnPolls(const Entry& entry) const;
    bool isDraining(const std::string& id) const;
    bool isSuspect(const std::string& group, uint64_t epoch, Millis reportedAt) const;
    std::string checkMember(const std::string& id, const InstanceStatus& leaderStatus, Millis now) const;
    bool contradicts(const Entry& entry, const RemoteGroup& group, Millis now) const;
    std::optional<GroupCondition> checkRemoteGroup(const RemoteGroup& group, Millis now) const;
    std::vector<Replica> wholeReplicas() const;
    GroupCondition checkGroup(const InstanceView& leader, Millis now) const;
    std::vector<GroupCondition> checkGroups(Millis now) const;
    std::vector<GroupCondition> checkRemoteGroups(Millis now) const;

    Options options_;
    mutable std::mutex mutex_;
    std::map<std::string, Entry> instances_; // by id
    std::shared_ptr<const std::vector<Instance>> listed_ = std::make_shared<std::vector<Instance>>();
    std::set<std::string> domains_;
    RemoteGroups remote_;
    std::set<std::string> draining_;
    std::map<std::string, RemoteDraining> remoteDraining_; // by observer
    std::map<std::string, Millis> suspectedAt_; // by group and epoch
};

} // namespace hemlockweir
