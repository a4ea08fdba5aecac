#pragma once

#include "fleet/DomainLease.h"
#include "fleet/DrainList.h"
#include "fleet/GroupPlanner.h"

#include <deque>
#include <memory>

// Keeps the fleet table current and the groups of a failure domain whole. Lives on the control
// thread.

namespace hemlockweir {

struct FleetManagerOptions {
    std::string node;
    uint64_t incarnation = 0; // of this start of the node
    std::string domain; // this node's failure domain
    QUrl instancesUrl;
    Millis statusInterval { 300 }; // ms, between two looks at an instance
    Millis statusFreshness { 1500 }; // ms
    Millis listInterval { 1000 }; // ms, between two reads of the instance list
    std::chrono::seconds leaseTtl { 5 };
    size_t maxLoadingGroups = 4; // groups of a failure domain that load at once
    Millis drainTimeout { 60000 }; // ms for the requests of a leaving group
    Clock clock;
    Random random;
    std::function<std::vector<Model>()> models; // in force now
    std::function<double(const Model&)> demand; // see PlannerOptions
    std::function<std::vector<std::string>()> domainsToPlan; // this node's, and those without a node
    std::function<size_t(const std::string& domain)> rankFor; // this node's place among those that may plan it
    std::function<bool(const Instance&)> shouldObserve; // whether this node polls the instance
};

class FleetManager : public QObject {
    Q_OBJECT
public:
    FleetManager(FleetManagerOptions options, FleetTable& table, KvClient& platform);

    // Starts polling and planning.
    void start();

    // Gives up the leases, so that another node can take over at once.
    void release();

    // Orders given so far, newest last; bounded.
    const std::deque<Order>& recentOrders() const { return recentOrders_; }

    // Whether this node holds the lease of a domain.
    bool isPlanning(const std::string& domain) const;

private:
    struct DomainPlan {
        std::unique_ptr<DomainLease> lease;
        std::unique_ptr<GroupPlanner> planner;
        bool wasHeld = false;
    };

    void readInstances();
    void pollInstances();
    void pollInstance(const Instance& instance);
    void planDomains();
    void planDomain(const std::string& domain);
    PlannerOptions makePlannerOptions(DomainLease& lease) const;
    DomainPlan& planFor(const std::string& domain);
    void giveOrder(const Order& order);

    FleetManagerOptions options_;
    FleetTable& table_;
    KvClient& platform_;
    DrainList drains_;
    HttpClient client_;
    QTimer listTimer_;
    QTimer pollTimer_;
    std::shared_ptr<HttpCall> listCall_;
    std::map<std::string, std::shared_ptr<HttpCall>> polls_; // by instance
    std::map<uint64_t, std::shared_ptr<HttpCall>> orderCalls_;
    std::map<std::string, DomainPlan> plans_; // by domain
    std::deque<Order> recentOrders_;
    uint64_t nextOrderCall_ = 1;
    bool isReleased_ = false;
};

} // namespace hemlockweir
