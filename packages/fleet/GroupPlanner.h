#pragma once

#include "config/Configuration.h"
#include "fleet/DomainView.h"
#include "fleet/StragglerFinder.h"

#include <list>

// Decides which instances form groups. Pure: it reads a snapshot of the instances and returns
// orders.
//
//   GroupPlanner planner({ .nextEpoch = ... });
//   for (const Order& order : planner.plan(input)) ...

namespace hemlockweir {

// The action that an order requests.
enum class OrderKind {
    Join, // join a group and serve in it
    Release, // leave its group and become idle
};

// One order to one instance. Instances that check fencing reject an epoch lower than their own.
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
    std::function<uint64_t()> nextEpoch; // returns a fencing number above all earlier ones
    std::function<double(const Model&)> demand; // relative weight of a model for the instances left over; unset: equal
    size_t maxLoadingGroups = 4; // groups that load from the weight store at the same time
    Millis orderTimeout { 3000 }; // ms until an order that no report confirms is treated as lost
    Millis drainSettleTime { 3000 }; // ms until no node sends new requests to a leaving group
    Millis drainTimeout { 60000 }; // ms that the requests of a leaving group get to finish
    StragglerOptions stragglers;
};

// The input of a planning step.
struct PlanInput {
    std::string domain; // failure domain to plan for
    std::vector<Model> models;
    std::vector<InstanceView> instances; // of all domains; other domains are ignored
    Millis now { 0 };
    Millis freshness { 1500 }; // ms, maximum age of a report
};

// Plans the groups of one failure domain. Each call is one step. The planner remembers orders that
// are not yet visible in the instances' reports, so that it does not repeat them.
class GroupPlanner {
public:
    explicit GroupPlanner(PlannerOptions options);

    // Returns the orders to send now.
    std::vector<Order> plan(const PlanInput& input);

    // Discards the pending orders and drain timers. Call it after the lease was lost and acquired
    // again.
    void reset();

private:
    // Orders that were issued together and are not yet visible in the reports of all their
    // instances.
    struct Pending {
        OrderKind kind = OrderKind::Join;
        std::vector<std::string> instances;
        std::string model;
        uint64_t epoch = 0;
        Millis orderedAt { 0 };
    };
    using Members = std::vector<const InstanceView*>;

    // The working state of one plan() call.
    struct Step {
        const PlanInput& input;
        DomainView view;
        std::map<std::string, Members> free; // available instances by fabric domain, most preferred first
        std::map<std::string, uint32_t> replicas; // groups by model, existing or ordered
        size_t loading = 0; // groups that load, or are ordered to
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
