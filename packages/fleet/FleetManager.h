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

// Reads the instance list, polls instances, exchanges their statuses with the other nodes of the
// failure domain, and plans groups under the domain's lease. Lives on the control thread.

namespace hemlockweir {

struct FleetManagerOptions {
    std::string node;
    uint64_t incarnation = 0; // of this run of the node
    std::string domain; // this node's failure domain
    QUrl instancesUrl;
    Millis statusInterval { 300 }; // ms, between two polls of an instance
    Millis statusFreshness { 1500 }; // ms, maximum age of a report
    Millis listInterval { 1000 }; // ms, between two reads of the instance list
    std::chrono::seconds leaseTtl { 5 };
    size_t maxLoadingGroups = 4; // groups of a failure domain that load at the same time
    Millis drainTimeout { 60000 }; // ms that the requests of a leaving group get to finish
    Clock clock;
    Random random;
    std::function<std::vector<Model>()> models; // currently in force
    std::function<double(const Model&)> demand; // see PlannerOptions
    std::function<std::vector<std::string>()> domainsToPlan; // this node's domain and domains without a live node
    std::function<size_t(const std::string& domain)> rankFor; // this node's rank among those that may plan the domain
    std::function<bool(const Instance&)> shouldObserve; // whether this failure domain's nodes poll the instance
    std::function<bool(const Instance&)> isShared; // whether the nodes of this failure domain share their polls of it
    std::function<std::vector<std::string>()> nodesOfDomain; // live ones, including this node
    std::function<size_t(const std::vector<std::string>& nodes, const std::string& role)> rankAmong; // returns this node's rank
    std::function<void(const Statuses&)> broadcastStatuses; // to the nodes of this failure domain
    std::function<void(const StatusesRequest&)> broadcastTableRequest;
};

class FleetManager : public QObject {
    Q_OBJECT
public:
    FleetManager(FleetManagerOptions options, FleetTable& table, KvClient& platform);

    // Starts reading the list, polling and planning.
    void start();

    // Handles statuses, and requests for them, from other nodes of this failure domain. Ignores
    // other kinds of messages.
    void handleMessage(const Envelope& envelope);

    // Releases the leases, so that another node can acquire them at once.
    void release();

    // Returns the last orders that this node sent, newest last.
    const std::deque<Order>& recentOrders() const { return recentOrders_; }

    // Returns the accelerator time that was not spent serving, as counted by this node. In each
    // failure domain, one node counts at a time. Thread-safe.
    StrandedTotals strandedTotals() const { return stranded_.totals(); }

    // Returns whether this node holds the lease of a domain.
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
    QTimer shareTimer_; // runs while polls are shared
    StatusPoller poller_;
    ObserverRoles roles_;
    StatusPublisher publisher_;
    StatusReceiver receiver_;
    std::set<std::string> published_; // instances whose statuses this node publishes
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
