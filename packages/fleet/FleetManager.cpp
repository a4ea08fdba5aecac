#include "fleet/FleetManager.h"

#include "base/Log.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>

namespace hemlockweir {

static constexpr size_t maxRecentOrders = 200;
// Two read the drains of a domain besides its planner, so that the death of one leaves no gap.
static constexpr size_t drainReadersPerDomain = 2;

// Of the freshness period: how often an observer speaks, when an answer is late, and when the next
// in rank look too.
static constexpr int freshnessParts = 20;
static constexpr int vouchParts = 12;
static constexpr int lateParts = 9;
static constexpr int staleSoonParts = 17;
// Of an instance that has been silent for so many freshness periods nothing is to be expected.
static constexpr int stalePeriods = 4;
static constexpr Millis shareTick { 50 };

static QUrl urlOf(const std::string& address, const char* path)
{
    return QUrl(QString::fromStdString("http://" + address + path));
}

FleetManager::FleetManager(FleetManagerOptions options, FleetTable& table, KvClient& platform)
    : options_(std::move(options))
    , table_(table)
    , platform_(platform)
    , drains_({ .interval = options_.listInterval, .shouldRead = [this] { return isPlanning(options_.domain) || options_.rankFor(options_.domain) < drainReadersPerDomain; } }, table, platform)
    , poller_({ .interval = options_.statusInterval,
          .answerTimeout = options_.statusFreshness,
          .clock = options_.clock,
          .onStatus = [this](const std::string& id, const InstanceStatus& status, Millis askedAt) { takeStatus(id, status, askedAt); },
          .onUnreachable = [this](const std::string& id) { takeUnreachable(id); } })
    , roles_({ .clock = options_.clock, .rank = [this](const std::vector<std::string>& nodes, const std::string& instance) { return options_.rankAmong(nodes, "observer of " + instance); } })
    , publisher_({ .vouchInterval = options_.statusFreshness * vouchParts / freshnessParts,
          .lateAfter = options_.statusFreshness * lateParts / freshnessParts,
          .clock = options_.clock,
          .broadcast = options_.broadcastStatuses,
          .sendsLoad = [this](const std::string& id) { return roles_.isFirstFor(id); } })
    , heard_({ .clock = options_.clock, .broadcast = options_.broadcastWanted }, table_)
{
    connect(&listTimer_, &QTimer::timeout, this, &FleetManager::readInstances);
    connect(&shareTimer_, &QTimer::timeout, this, &FleetManager::shareStatuses);
    connect(&planTimer_, &QTimer::timeout, this, [this] {
        chooseTargets();
        planDomains();
    });
}

void FleetManager::start()
{
    listTimer_.start(options_.listInterval);
    planTimer_.start(options_.statusInterval);
    drains_.start();
    readInstances();
}

void FleetManager::release()
{
    for (auto& [domain, plan] : plans_)
        plan.lease->release();
    isReleased_ = true;
}

bool FleetManager::isPlanning(const std::string& domain) const
{
    const auto found = plans_.find(domain);
    return found != plans_.end() && found->second.lease->isHeld();
}

void FleetManager::readInstances()
{
    if (listCall_)
        return;
    CallOptions call { .method = "GET", .url = options_.instancesUrl, .headers = {}, .body = {}, .firstByteTimeout = options_.listInterval, .silenceTimeout = options_.listInterval };
    listCall_ = client_.start(call, { .onHead = {}, .onData = {}, .onDone = [this](const CallResult& result) {
        const auto keep = std::move(listCall_);
        if (!result.isSuccess())
            return;
        const absl::StatusOr<std::vector<Instance>> instances = parseInstances(result.body);
        if (instances.ok())
            setInstances(*instances);
        else
            logWarning("instance_list_malformed", { { "error", std::string(instances.status().message()) } }); } });
}

void FleetManager::setInstances(const std::vector<Instance>& instances)
{
    table_.setInstances(instances);
    chooseTargets();
}

void FleetManager::chooseTargets()
{
    const Millis freshness = options_.statusFreshness;
    roles_.setNodes(options_.nodesOfDomain());
    if (roles_.isSharing())
        roles_.setStale(table_.findStale(freshness * staleSoonParts / freshnessParts, freshness * stalePeriods), table_.findStale(freshness, freshness * stalePeriods));
    std::vector<Instance> targets;
    std::set<std::string> told;
    const auto listed = table_.listed();
    for (const Instance& instance : *listed) {
        if (!options_.shouldObserve(instance))
            continue;
        const ObserverRole role = options_.isShared(instance) ? roles_.roleFor(instance.id) : ObserverRole::Itself;
        if (role != ObserverRole::None)
            targets.push_back(instance);
        if (role == ObserverRole::Teller)
            told.insert(instance.id);
    }
    if (told != told_) {
        told_ = std::move(told);
        publisher_.keepOnly(told_);
    }
    if (targets != targets_)
        replaceTargets(targets);
    if (!roles_.isSharing())
        shareTimer_.stop();
    else if (!shareTimer_.isActive())
        shareTimer_.start(shareTick);
}

void FleetManager::replaceTargets(const std::vector<Instance>& targets)
{
    std::set<std::string> observed;
    for (const Instance& instance : targets)
        observed.insert(instance.id);
    table_.setObserved(observed);
    poller_.setTargets(targets);
    targets_ = targets;
}

void FleetManager::takeStatus(const std::string& id, const InstanceStatus& status, Millis askedAt)
{
    table_.setStatus(id, status, askedAt);
    if (told_.contains(id))
        publisher_.noteStatus(id, status, askedAt);
}

void FleetManager::takeUnreachable(const std::string& id)
{
    table_.dropStatus(id);
    if (told_.contains(id))
        publisher_.noteUnreachable(id);
}

void FleetManager::shareStatuses()
{
    publisher_.tick();
    heard_.tick();
}

void FleetManager::takeMessage(const Envelope& envelope)
{
    if (envelope.kind == MessageKind::Statuses) {
        const absl::StatusOr<Statuses> statuses = decodeBody<Statuses>(envelope.body);
        if (statuses.ok())
            heard_.take(envelope.sender, *statuses);
    } else if (envelope.kind == MessageKind::StatusesWanted) {
        const absl::StatusOr<StatusesWanted> wanted = decodeBody<StatusesWanted>(envelope.body);
        if (wanted.ok() && std::find(wanted->observers.begin(), wanted->observers.end(), options_.node) != wanted->observers.end())
            publisher_.requestWhole();
    }
}

void FleetManager::planDomains()
{
    if (isReleased_)
        return;
    const std::vector<std::string> domains = options_.domainsToPlan();
    for (auto& [domain, plan] : plans_) {
        if (std::find(domains.begin(), domains.end(), domain) == domains.end())
            plan.lease->release();
    }
    for (const std::string& domain : domains)
        planDomain(domain);
    countStranded();
}

// The first in rank counts for this node's own domain, whether it holds the lease or not: a domain
// that is cut off from the platform is counted as well.
void FleetManager::countStranded()
{
    if (options_.rankFor(options_.domain) != 0) {
        stranded_.skip();
        return;
    }
    StrandedTime::Look look { .domain = options_.domain, .instances = table_.instances(), .now = options_.clock(), .freshness = options_.statusFreshness, .isCutOff = planFor(options_.domain).lease->isCutOff() };
    for (const Model& model : options_.models())
        look.pools.insert(model.pool);
    stranded_.observe(look);
}

PlannerOptions FleetManager::makePlannerOptions(DomainLease& lease) const
{
    return { .nextEpoch = [&lease] { return lease.nextEpoch(); },
        .demand = options_.demand,
        .maxLoadingGroups = options_.maxLoadingGroups,
        .drainSettle = 2 * options_.statusFreshness,
        .drainTimeout = options_.drainTimeout };
}

FleetManager::DomainPlan& FleetManager::planFor(const std::string& domain)
{
    DomainPlan& plan = plans_[domain];
    if (!plan.lease) {
        DomainLease::Options lease { .domain = domain, .node = options_.node, .incarnation = options_.incarnation, .ttl = options_.leaseTtl, .clock = options_.clock, .random = options_.random };
        plan.lease = std::make_unique<DomainLease>(lease, platform_);
        plan.planner = std::make_unique<GroupPlanner>(makePlannerOptions(*plan.lease));
    }
    return plan;
}

void FleetManager::planDomain(const std::string& domain)
{
    DomainPlan& plan = planFor(domain);
    plan.lease->keep(options_.rankFor(domain));
    const bool isHeld = plan.lease->isHeld();
    if (isHeld && !plan.wasHeld)
        plan.planner->reset();
    if (!isHeld && plan.wasHeld)
        logWarning("planner_lease_untrusted", { { "domain", domain } });
    plan.wasHeld = isHeld;
    if (!isHeld)
        return;
    const PlanInput input { .domain = domain, .models = options_.models(), .instances = table_.instances(), .now = options_.clock(), .freshness = options_.statusFreshness };
    for (const Order& order : plan.planner->plan(input))
        giveOrder(order);
}

void FleetManager::giveOrder(const Order& order)
{
    const bool isJoin = order.kind == OrderKind::Join;
    logInfo(isJoin ? "order_join" : "order_release", { { "instance", order.instance }, { "group", order.group }, { "epoch", std::to_string(order.epoch) } });
    recentOrders_.push_back(order);
    if (recentOrders_.size() > maxRecentOrders)
        recentOrders_.pop_front();

    QJsonArray members;
    QJsonArray addresses;
    for (const std::string& member : order.members)
        members.append(QString::fromStdString(member));
    for (const std::string& address : order.memberAddresses)
        addresses.append(QString::fromStdString(address));
    const QJsonObject body {
        { "type", isJoin ? "join" : "release" },
        { "group", QString::fromStdString(order.group) },
        { "epoch", static_cast<double>(order.epoch) },
        { "model", QString::fromStdString(order.model) },
        { "members", members },
        { "member_addresses", addresses },
    };
    const uint64_t id = nextOrderCall_++;
    CallOptions call { .url = urlOf(order.address, "/orders"), .headers = {}, .body = QJsonDocument(body).toJson(QJsonDocument::Compact), .firstByteTimeout = Millis(2000), .silenceTimeout = Millis(2000) };
    orderCalls_[id] = client_.start(call, { .onHead = {}, .onData = {}, .onDone = [this, id, order](const CallResult& result) {
        const auto keep = orderCalls_.extract(id);
        if (!result.isSuccess())
            logWarning("order_failed", { { "instance", order.instance }, { "epoch", std::to_string(order.epoch) }, { "status", std::to_string(result.status) } }); } });
}

} // namespace hemlockweir
