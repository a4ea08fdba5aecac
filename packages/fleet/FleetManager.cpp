#include "fleet/FleetManager.h"

#include "base/Log.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>

namespace hemlockweir {

static constexpr size_t maxRecentOrders = 200;
// Two read the drains of a domain besides its planner, so that the death of one leaves no gap.
static constexpr size_t drainReadersPerDomain = 2;

static QUrl urlOf(const std::string& address, const char* path)
{
    return QUrl(QString::fromStdString("http://" + address + path));
}

FleetManager::FleetManager(FleetManagerOptions options, FleetTable& table, KvClient& platform)
    : options_(std::move(options))
    , table_(table)
    , platform_(platform)
    , drains_({ .interval = options_.listInterval, .shouldRead = [this] { return isPlanning(options_.domain) || options_.rankFor(options_.domain) < drainReadersPerDomain; } }, table, platform)
{
    connect(&listTimer_, &QTimer::timeout, this, &FleetManager::readInstances);
    connect(&pollTimer_, &QTimer::timeout, this, [this] {
        pollInstances();
        planDomains();
    });
}

void FleetManager::start()
{
    listTimer_.start(options_.listInterval);
    pollTimer_.start(options_.statusInterval);
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
            table_.setInstances(*instances);
        else
            logWarning("instance_list_malformed", { { "error", std::string(instances.status().message()) } }); } });
}

void FleetManager::pollInstances()
{
    std::set<std::string> observed;
    for (const InstanceView& view : table_.instances()) {
        if (!options_.shouldObserve(view.instance))
            continue;
        observed.insert(view.instance.id);
        if (!polls_.contains(view.instance.id))
            pollInstance(view.instance);
    }
    table_.setObserved(observed);
}

void FleetManager::pollInstance(const Instance& instance)
{
    const Millis askedAt = options_.clock();
    CallOptions call { .method = "GET", .url = urlOf(instance.address, "/status"), .headers = {}, .body = {}, .firstByteTimeout = options_.statusFreshness, .silenceTimeout = options_.statusFreshness };
    polls_[instance.id] = client_.start(call, { .onHead = {}, .onData = {}, .onDone = [this, id = instance.id, askedAt](const CallResult& result) {
        const auto keep = polls_.extract(id);
        if (result.end == CallEnd::NotSent || result.end == CallEnd::Broken) {
            table_.dropStatus(id);
            return;
        }
        if (!result.isSuccess())
            return;
        const absl::StatusOr<InstanceStatus> status = parseInstanceStatus(result.body);
        // An address may have been taken over by another instance than the one listed there.
        if (status.ok() && status->id == id)
            table_.setStatus(id, *status, askedAt); } });
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
