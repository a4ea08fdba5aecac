#pragma once

#include "config/Configuration.h"
#include "fleet/DomainView.h"
#include "fleet/StragglerFinder.h"

#include <list>

// Decides which instances form groups. Pure: it sees a table and returns orders.
//
//   GroupPlanner planner({ .nextEpoch = ... });
//   for (const Order& order : planner.plan(input)) ...

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

struct PlannerOptions {
    std::function<uint64_t()> nextEpoch; // a fencing number above all earlier ones
    std::function<double(const Model&)> demand; // share of the instances left over; unset: equal
    size_t maxLoadingGroups = 4; // groups that load from the weight store at once
    Millis orderTimeout { 3000 }; // ms until an order that does not show is given up
    Millis drainSettleTime { 3000 }; // ms until every node has stopped giving work to a leaving group
    Millis drainTimeout { 60000 }; // ms for the requests of a leaving group
    StragglerOptions stragglers;
};

// What a plan is made from.
struct PlanInput {
    std::string domain; // failure domain to plan for
    std::vector<Model> models;
    std::vector<InstanceView> instances; // of every domain; others are ignored
    Millis now { 0 };
    Millis freshness { 1500 }; // ms, oldest report that still counts
};

// Plans for one failure domain, one step at a time. It remembers the orders that it gave and
// have not shown yet, so that it does not give them twice.
class GroupPlanner {
public:
    explicit GroupPlanner(PlannerOptions options);

    // Returns the orders to give now.
    std::vector<Order> plan(const PlanInput& input);

    // Forgets what was ordered; for a planner that has lost and regained its lease.
    void reset();

private:
    // Orders given together, until every instance shows them.
    struct Pending {
        OrderKind kind = OrderKind::Join;
        std::vector<std::string> instances;
        std::string model;
        uint64_t epoch = 0;
        Millis orderedAt { 0 };
    };
    using Members = std::vector<const InstanceView*>;

    // What one call of plan() works on.
    struct Step {
        const PlanInput& input;
        DomainView view;
        std::map<std::string, Members> free; // usable instances by fabric domain, best first
        std::map<std::string, uint32_t> replicas; // groups by model, present or ordered
        size_t loading = 0; // groups
        std::vector<Order> orders;
    };

    bool isPending(const std::string& instance) const;
    bool isStraggler(const InstanceView& view, const Step& step) const;
    void prunePending(const Step& step);
    void countReplicas(Step& step) const;
    void collectFree(Step& step) const;
    void drainLeaving(Step& step);
    void formGroups(Step& step);
    void replaceStraggler(Step& step);
    bool replaceMember(Step& step, const AgreedGroup& group, const InstanceView& straggler);
    void releaseUnrecoverable(Step& step);
    const Model* chooseModel(const Step& step, const std::set<std::string>& excluded) const;
    Members selectMembers(Step& step, const Model& model) const;
    void join(Step& step, const std::string& model, const Members& members);
    void release(Step& step, const InstanceView& view);

    PlannerOptions options_;
    StragglerFinder stragglers_;
    std::list<Pending> pending_;
    std::map<std::string, Millis> drainingSince_; // by group
};

} // namespace hemlockweir
