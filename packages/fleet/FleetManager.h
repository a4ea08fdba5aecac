#pragma once

#include "fleet/DomainLease.h"
#include "fleet/DrainList.h"
#include "fleet/GroupPlanner.h"
#include "fleet/ObserverRoles.h"
#include "fleet/StatusPoller.h"
#include "fleet/StatusPublisher.h"
#include "fleet/StatusReceiver.h"
#include "fleet/StrandedTime.h"

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
    std::function<bool(const Instance&)> shouldObserve; // whether it is this failure domain's to look at the instance
    std::function<bool(const Instance&)> isShared; // whether the nodes of this failure domain share the looks at it
    std::function<std::vector<std::string>()> nodesOfDomain; // living, this one included
    std::function<size_t(const std::vector<std::string>& nodes, const std::string& role)> rankAmong; // of this node
    std::function<void(const Statuses&)> broadcastStatuses; // to the nodes of this failure domain
    std::function<void(const StatusesWanted&)> broadcastTableRequest;
};

class FleetManager : public QObject {
    Q_OBJECT
public:
    FleetManager(FleetManagerOptions options, FleetTable& table, KvClient& platform);

    // Starts polling and planning.
    void start();

    // Takes what another node of this failure domain says of instances; other kinds are ignored.
    void handleMessage(const Envelope& envelope);

    // Gives up the leases, so that another node can take over at once.
    void release();

    // Orders given so far, newest last; bounded.
    const std::deque<Order>& recentOrders() const { return recentOrders_; }

    // Accelerator time that served nothing, as far as it fell to this node to count it. In each
    // failure domain one node counts at a time. Thread-safe.
    StrandedTotals strandedTotals() const { return stranded_.totals(); }

    // Whether this node holds the lease of a domain.
    bool isPlanning(const std::string& domain) const;

private:
    struct DomainPlan {
        std::unique_ptr<DomainLease> lease;
        std::unique_ptr<GroupPlanner> planner;
        bool wasHeld = false;
    };

    void readInstances();
    void setInstances(const std::vector<Instance>& instances);
    void chooseTargets();
    void replaceTargets(const std::vector<Instance>& targets);
    void handleStatus(const std::string& id, const InstanceStatus& status, Millis polledAt);
    void handleUnreachable(const std::string& id);
    void shareStatuses();
    void planDomains();
    void planDomain(const std::string& domain);
    PlannerOptions makePlannerOptions(DomainLease& lease) const;
    DomainPlan& planFor(const std::string& domain);
    void countStranded();
    void sendOrder(const Order& order);

    FleetManagerOptions options_;
    FleetTable& table_;
    KvClient& platform_;
    DrainList drains_;
    HttpClient client_;
    QTimer listTimer_;
    QTimer planTimer_;
    QTimer shareTimer_; // runs while looks are shared
    StatusPoller poller_;
    ObserverRoles roles_;
    StatusPublisher publisher_;
    StatusReceiver receiver_;
    std::set<std::string> published_; // instances of which this node tells the others
    std::vector<Instance> targets_; // of the poller
    std::shared_ptr<HttpCall> listCall_;
    std::map<uint64_t, std::shared_ptr<HttpCall>> orderCalls_;
    std::map<std::string, DomainPlan> plans_; // by domain
    StrandedTime stranded_;
    std::deque<Order> recentOrders_;
    uint64_t nextOrderCall_ = 1;
    bool isReleased_ = false;
};

} // namespace hemlockweir
