#pragma once

#include "config/Configuration.h"
#include "fleet/FleetTable.h"

// Decides which instances form groups. Pure: it sees a table and returns orders.

namespace hemlockweir {

// What an instance is told to do.
enum class OrderKind {
    Join, // serve in a group
    Release, // leave its group and become idle
};

// One order to one instance. Instances that check fencing refuse an epoch below their own.
struct Order {
    OrderKind kind = OrderKind::Join;
    std::string instance;
    std::string address; // ADDRESS:PORT
    std::string group;
    uint64_t epoch = 0;
    std::string model;
    std::vector<std::string> members; // instance ids, leader first
    std::vector<std::string> memberAddresses; // in the order of members

    auto operator<=>(const Order&) const = default;
};

// What a plan is made from.
struct PlanInput {
    std::string domain; // failure domain to plan for
    std::vector<Model> models;
    std::vector<InstanceView> instances; // of every domain; others are ignored
    Millis now { 0 };
    Millis freshness { 1500 }; // ms, oldest report that still counts
    Millis joinTimeout { 10000 }; // ms that a new group may take to become whole
};

// Plans for one failure domain, one step at a time. It remembers the orders that it gave and
// have not shown yet, so that it does not give them twice.
class GroupPlanner {
public:
    // `nextEpoch` returns a fencing number above all earlier ones.
    explicit GroupPlanner(std::function<uint64_t()> nextEpoch);

    // Returns the orders to give now.
    std::vector<Order> plan(const PlanInput& input);

    // Forgets what was ordered; for a planner that has lost and regained its lease.
    void reset();

private:
    struct PendingGroup {
        Order order; // of the leader
        Millis orderedAt { 0 };
    };

    bool isPending(const std::string& instance) const;
    void settlePending(const PlanInput& input);
    std::vector<Order> releaseBroken(const PlanInput& input);
    std::vector<Order> formGroups(const PlanInput& input, const Model& model);

    std::function<uint64_t()> nextEpoch_;
    std::map<std::string, PendingGroup> pending_; // by group
};

} // namespace hemlockweir
