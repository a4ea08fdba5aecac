#pragma once

#include "fleet/Instance.h"
#include "fleet/RemoteGroups.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>

// The table of instances and groups that the whole node shares. Thread-safe; its lock is a leaf
// (the scheduler's lock may be held when it is taken).

namespace hemlockweir {

// A whole group, as requests see it: one replica of a model.
struct Replica {
    std::string group;
    uint64_t epoch = 0;
    std::string model;
    std::string domain;
    std::string leader; // ADDRESS:PORT
    uint32_t slots = 0; // requests it runs at once
    uint32_t running = 0; // as reported
    uint32_t waiting = 0; // as reported
    Millis reportedAt { 0 }; // this node's time of the report

    auto operator<=>(const Replica&) const = default;
};

// Why a group may or may not take requests.
struct GroupCondition {
    std::string group;
    uint64_t epoch = 0;
    std::string model;
    std::string domain;
    std::vector<std::string> members;
    bool whole = false;
    std::string reason; // empty when whole
    Replica replica; // meaningful when whole
    std::string observer; // the node that told of it; empty: this node
};

// One instance with its latest report, if any.
struct InstanceView {
    Instance instance;
    std::optional<InstanceStatus> status;
    Millis polledAt { 0 }; // when the status was taken
    bool draining = false; // an operator drains it

    // Whether the instance is to get no new work, by whichever source says so first.
    bool isLeaving() const { return instance.leaving || draining || (status && status->leaving); }
};

// What is known of the fleet.
class FleetTable {
public:
    struct Options {
        Millis freshness { 1500 }; // ms, oldest member report that still counts
        Clock clock;
    };

    explicit FleetTable(Options options);

    // Replaces the list of instances; reports of instances that are gone are dropped.
    void setInstances(const std::vector<Instance>& instances);

    // The list as last set, and the failure domains in it.
    std::shared_ptr<const std::vector<Instance>> listed() const;
    std::set<std::string> domains() const;

    // Takes one instance's own report, as of `polledAt`.
    void setStatus(const std::string& id, const InstanceStatus& status, Millis polledAt);

    // Forgets an instance's report at once, after it failed.
    void dropStatus(const std::string& id);

    // Take what an observer in this failure domain heard from an instance or failed to. A report
    // counts if it is newer than what is known; not when this node looks at the instance itself and
    // has for a freshness period.
    void applyPeerStatus(const std::string& id, const InstanceStatus& status, Millis polledAt);
    void applyPeerFailure(const std::string& id, Millis failedAt);

    // Takes it that these instances, besides those at the places `late`, were asked at `polledAt` or
    // later and reported this.
    void confirmStatuses(const std::map<std::string, InstanceStatus>& statuses, const std::vector<uint16_t>& late, Millis polledAt);

    // Takes an instance's load from an observer.
    void applyPeerLoad(const std::string& id, const InstanceLoad& load);

    // Instances whose last report, or their listing if there was none, is older than `from` and not
    // older than `to`.
    std::set<std::string> findStale(Millis minAge, Millis maxAge) const;

    // Says which instances this node polls. Of these it trusts its own view over any peer's.
    void setObserved(const std::set<std::string>& ids);

    std::vector<std::string> observed() const;

    // Takes what another node says of a group.
    void setRemoteGroup(const RemoteGroup& row);

    // Replaces the instances that operators drain, as this node read them from the platform.
    void setDraining(const std::set<std::string>& ids);
    std::set<std::string> localDraining() const;

    // Replaces the instances that operators drain, as a peer read them.
    void setRemoteDraining(const std::string& observer, const std::vector<std::string>& ids, Millis sentAt);

    // Marks a group as failed until a member report newer than now arrives.
    void suspectGroup(const std::string& group, uint64_t epoch);

    // Groups that may take a request for the model now.
    std::vector<Replica> findReplicas(const std::string& model) const;

    // The current replica of a group, if it still has this epoch and is whole.
    std::optional<Replica> findReplica(const std::string& group, uint64_t epoch) const;

    // Live instances of a plain pool that are not leaving.
    std::vector<Instance> findPlainInstances(const std::string& pool) const;

    // Everything, for planning and reports.
    std::vector<InstanceView> instances() const;
    std::vector<GroupCondition> groups() const; // that this node observes
    std::vector<GroupCondition> remoteGroups() const; // that only peers observe, servable ones

private:
    // An instance, and what this node's own polls of it came to.
    struct Entry {
        InstanceView view;
        Millis listedAt { 0 };
        Millis observedSince { 0 };
        Millis failedAt { 0 }; // the last time it could not be reached
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
