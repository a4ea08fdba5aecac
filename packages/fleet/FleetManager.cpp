#include "fleet/FleetManager.h"

#include "base/Log.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>

namespace hemlockweir {

static constexpr size_t maxRecentOrders = 200;
// Besides its planner, two nodes read a domain's drains, so that the loss of one node leaves no
// gap.
static constexpr size_t drainReadersPerDomain = 2;

// As fractions of the freshness period: the interval of confirmations, the age at which a response
// is late, and the age at which standbys start to poll.
static constexpr int freshnessDenominator = 20;
static constexpr int confirmNumerator = 12;
static constexpr int lateNumerator = 9;
static constexpr int nearlyStaleNumerator = 17;
// An instance without a report for so many freshness periods is assumed to be down, and no fallback
// polling is started for it.
static constexpr int maxStalePeriods = 4;
static constexpr Millis shareInterval { 50 };

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
          .responseTimeout = options_.statusFreshness,
          .clock = options_.clock,
          .onStatus = [this](const std::string& id, const InstanceStatus& status, Millis polledAt) { handleStatus(id, status, polledAt); },
          .onUnreachable = [this](const std::string& id) { handleUnreachable(id); } })
    , roles_({ .clock = options_.clock, .rank = [this](const std::vector<std::string>& nodes, const std::string& instance) { return options_.rankAmong(nodes, "observer of " + instance); } })
    , publisher_({ .confirmInterval = options_.statusFreshness * confirmNumerator / freshnessDenominator,
          .lateAfter = options_.statusFreshness * lateNumerator / freshnessDenominator,
          .clock = options_.clock,
          .broadcast = options_.broadcastStatuses,
          .publishesLoad = [this](const std::string& id) { return roles_.isPrimaryFor(id); } })
    , receiver_({ .clock = options_.clock, .broadcast = options_.broadcastTableRequest }, table_)
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
        const auto keepAlive = std::move(listCall_);
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
        roles_.setStale(table_.findStale(freshness * nearlyStaleNumerator / freshnessDenominator, freshness * maxStalePeriods), table_.findStale(freshness, freshness * maxStalePeriods));
    std::vector<Instance> targets;
    std::set<std::string> published;
    const auto listed = table_.listed();
    for (const Instance& instance : *listed) {
        if (!options_.shouldObserve(instance))
            continue;
        const ObserverRole role = options_.isShared(instance) ? roles_.roleFor(instance.id) : ObserverRole::Local;
        if (role != ObserverRole::None)
            targets.push_back(instance);
        if (role == ObserverRole::Publisher)
            published.insert(instance.id);
    }
    if (published != published_) {
        published_ = std::move(published);
        publisher_.keepOnly(published_);
    }
    if (targets != targets_)
        replaceTargets(targets);
    if (!roles_.isSharing())
        shareTimer_.stop();
    else if (!shareTimer_.isActive())
        shareTimer_.start(shareInterval);
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

void FleetManager::handleStatus(const std::string& id, const InstanceStatus& status, Millis polledAt)
{
    table_.setStatus(id, status, polledAt);
    if (published_.contains(id))
        publisher_.recordStatus(id, status, polledAt);
}

void FleetManager::handleUnreachable(const std::string& id)
{
    table_.dropStatus(id);
    if (published_.contains(id))
        publisher_.recordUnreachable(id);
}

void FleetManager::shareStatuses()
{
    publisher_.tick();
    receiver_.tick();
}

void FleetManager::handleMessage(const Envelope& envelope)
{
    if (envelope.kind == MessageKind::Statuses) {
        const absl::StatusOr<Statuses> statuses = decodeBody<Statuses>(envelope.body);
        if (statuses.ok())
            receiver_.handle(envelope.sender, *statuses);
    } else if (envelope.kind == MessageKind::StatusesRequest) {
        const absl::StatusOr<StatusesRequest> request = decodeBody<StatusesRequest>(envelope.body);
        if (request.ok() && std::find(request->observers.begin(), request->observers.end(), options_.node) != request->observers.end())
            publisher_.requestFullTable();
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

// The highest-ranked node for this node's own domain counts, whether or not it holds the lease, so
// that the time is also counted while the domain is cut off from the platform.
void FleetManager::countStranded()
{
    if (options_.rankFor(options_.domain) != 0) {
        stranded_.suspend();
        return;
    }
    StrandedTime::Snapshot snapshot { .domain = options_.domain, .instances = table_.instances(), .now = options_.clock(), .freshness = options_.statusFreshness, .isCutOff = planFor(options_.domain).lease->isCutOff() };
    for (const Model& model : options_.models())
        snapshot.pools.insert(model.pool);
    stranded_.observe(snapshot);
}

PlannerOptions FleetManager::makePlannerOptions(DomainLease& lease) const
{
    return { .nextEpoch = [&lease] { return lease.nextEpoch(); },
        .demand = options_.demand,
        .maxLoadingGroups = options_.maxLoadingGroups,
        .drainSettleTime = 2 * options_.statusFreshness,
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
    plan.lease->keepAlive(options_.rankFor(domain));
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
        sendOrder(order);
}

void FleetManager::sendOrder(const Order& order)
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
        const auto keepAlive = orderCalls_.extract(id);
        if (!result.isSuccess())
            logWarning("order_failed", { { "instance", order.instance }, { "epoch", std::to_string(order.epoch) }, { "status", std::to_string(result.status) } }); } });
}

} // namespace hemlockweir
