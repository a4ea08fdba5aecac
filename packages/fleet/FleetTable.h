#pragma once

#include "fleet/Instance.h"

#include <map>
#include <mutex>
#include <optional>

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
};

// One instance with its latest report, if any.
struct InstanceView {
    Instance instance;
    std::optional<InstanceStatus> status;
    Millis seenAt { 0 }; // when the status was taken
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

    // Takes one instance's own report, as of `seenAt`.
    void setStatus(const std::string& id, const InstanceStatus& status, Millis seenAt);

    // Forgets an instance's report at once, after it failed.
    void dropStatus(const std::string& id);

    // Takes a whole group that another node observes. `replica.reportedAt` is in this node's time.
    void setRemoteReplica(const std::string& observer, const Replica& replica);
    void dropRemoteReplica(const std::string& group);

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
    std::vector<GroupCondition> groups() const;

private:
    GroupCondition checkGroup(const InstanceView& leader, Millis now) const;
    std::vector<GroupCondition> checkGroups(Millis now) const;

    struct RemoteReplica {
        std::string observer;
        Replica replica;
    };

    Options options_;
    mutable std::mutex mutex_;
    std::map<std::string, InstanceView> instances_; // by id
    std::map<std::string, RemoteReplica> remote_; // by group
    std::map<std::string, Millis> suspectedAt_; // by group and epoch
};

} // namespace hemlockweir
