#include "gateway/Gateway.h"

#include "gateway/CountedStore.h"
#include "http/StatusCodes.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <algorithm>

namespace hemlockweir {

namespace asio = boost::asio;

// Resolution of the time limits of requests.
static constexpr Millis tickInterval { 20 };
static constexpr Millis sweepInterval { 500 };
// Minimum time between two probes of the members of one replica.
static constexpr Millis replicaProbeInterval { 300 };
// Minimum time between two probes of an endpoint that lost a connection. Most of these endpoints are alive: a lost
// answer is no proof of a crash.
static constexpr Millis lostConnectionProbeInterval { 1000 };
// Minimum time between two passes of the planner that results of orders ask for: results arrive in bursts.
static constexpr Millis minPlanInterval { 20 };
// The planner watches more often, because it must react to changes of engines.
static constexpr Millis plannerWatchPause { 80 };
// The other nodes share the store's rate limit: with more nodes each one watches less often. The maximum is
// low enough for a leaving endpoint to be noticed before it must get no more requests.
static constexpr Millis watchPausePerNode { 50 };
static constexpr Millis minWatchPause { 200 };
static constexpr Millis maxWatchPause { 1100 };
// Shortest outage of the store, in heartbeats of the endpoints, that lets entries expire: three missed heartbeats, the first of
// which may have been due before the outage was noticed.
static constexpr int heartbeatsBeforeLapse = 2;
// Time after which the balancer has removed a stopping node: it polls readiness once a second, and two failures count.
static constexpr Millis deregistrationDelay { 2500 };
// Time for which a stopping node still accepts connections. Some are under way when the balancer removes it.
static constexpr Millis listenDelay { 3500 };
// Part of the grace period that is reserved for the exit of the process.
static constexpr Millis exitMargin { 500 };
// Time after a request waited for a slot in which the use of organisations is reported, as long as use counts. Without waiting requests it decides
// nothing, and with 24 organisations and 109 nodes the reports would be 35 KB a second at each node.
static constexpr Millis organisationReportTime { 3000 };
// Limits of requests to the control and the ready address, which take no bodies.
static constexpr size_t maxControlBodyBytes = size_t { 64 } * 1024;
static constexpr Millis controlBodyTimeout { 5000 };

static std::vector<std::string> followedPrefixes(const PlatformAdapter& adapter)
{
    std::vector<std::string> prefixes { adapter.configurationKey, adapter.endpointPrefix, std::string(Presence::keyPrefix) };
    if (!adapter.evacuationPrefix.empty())
        prefixes.push_back(adapter.evacuationPrefix);
    return prefixes;
}

Gateway::Gateway(asio::io_context& context, GatewaySettings settings, const MakeAdapter& makeAdapter)
    : settings_(std::move(settings))
    , clock_(makeSteadyClock())
    , random_(makeSystemRandom())
    , log_({ .clock = clock_ })
    , callerMemory_(std::make_shared<MemoryBudget>(settings_.bounds.callerMemory, clock_))
    , endpointMemory_(std::make_shared<MemoryBudget>(settings_.bounds.endpointMemory, clock_))
    , adapter_(makeAdapter(context, settings_, clock_, log_))
    , dispatcher_({ .clock = clock_, .random = random_, .node = settings_.node, .domain = settings_.domain, .onSuspect = [this](const Target& target, bool isUnresponsive) { handleSuspect(target, isUnresponsive); }, .onCold = [this](const Target& target, Millis time) { logCold(target, time); }, .onUsageChanged = [this] { usage_.publishSoon(); } })
    , pool_(context, { .clock = clock_, .maxIdle = settings_.bounds.idleEndpointConnections, .memory = endpointMemory_ })
    , retries_({ .clock = clock_, .window = settings_.retryWindow, .retriesPerRequest = settings_.retriesPerRequest, .allowance = settings_.retryAllowance })
    , crashes_({ .clock = clock_, .onConnectionLost = [this](const std::string& endpoint) { handleConnectionLost(endpoint); }, .onCrash = [this](const CrashReport& report, const std::string& endpoint) { publishCrash(report, endpoint); }, .onSoundPart = [this](uint64_t part) { publishSoundPart(part); }, .onBlocked = [this](uint64_t blocked, size_t crashes) { log_.noteChange("crashes_explained", { { "blocked", absl::StrFormat("%016x", blocked) }, { "crashes", std::to_string(crashes) } }); } })
    , serviceTimes_({ .clock = clock_ })
    , proxyContext_ { .clock = clock_, .random = random_, .headers = adapter_.headers, .dispatcher = dispatcher_, .pool = pool_, .retries = retries_, .crashes = crashes_, .serviceTimes = serviceTimes_, .log = log_, .metrics = metrics_, .shutdown = std::nullopt, .endpointMemory = endpointMemory_ }
    , proxy_(context, { .address = settings_.callers.address, .port = settings_.callers.port, .clock = clock_, .memory = callerMemory_, .maxConnections = settings_.bounds.callerConnections, .discardBytes = settings_.bounds.discardBytes }, proxyContext_)
    , store_(context, { .clock = clock_, .prefixes = followedPrefixes(adapter_) }, adapter_.store, log_)
    , configuration_({ .onConfiguration = [this](std::shared_ptr<const RouteTable> routes) { applyConfiguration(std::move(routes)); } }, store_, adapter_, log_)
    , evacuated_(clock_, store_, adapter_, log_)
    , endpoints_(context, { .clock = clock_, .lapseTime = settings_.endpointHeartbeat * heartbeatsBeforeLapse, .isServing = [this] { return hasTraffic(); }, .logsEachChange = [this] { return presence_.isPlanner(); }, .isEvacuated = [this](const std::string& domain) { return evacuated_.contains(domain); }, .onChange = [this] { applyEndpoints(); } }, store_, adapter_, log_)
    , presence_(context,
          {
              .clock = clock_,
              .node = settings_.node,
              .address = settings_.peers.toString(),
              .control = settings_.control.toString(),
              .incarnation = settings_.node + "-" + makeRandomId(random_),
              .onRoleChanged = [this](bool isPlanner, uint64_t term) { handleRoleChange(isPlanner, term); },
          },
          store_, adapter_, log_)
    , storedBlocks_({ .clock = clock_, .node = settings_.node, .mayWrite = [this] { return presence_.isPlanner(); }, .blocks = [this] { return crashes_.blocks(); }, .onBlock = [this](const CrashBlock& block) { crashes_.noteKeptBlock(block); } }, store_, adapter_, log_)
    , usage_(context,
          {
              .clock = clock_,
              .random = random_,
              .node = settings_.node,
              .address = settings_.peers,
              .ownUsage = [this] { return dispatcher_.ownUsage(); },
              .onUsage = [this](const std::string& node, PeerUsage usage) { dispatcher_.updatePeerUsage(node, std::move(usage)); },
              .onSuspect = [this](uint32_t target) { handlePeerSuspect(target); },
              .onCrash = [this](const CrashReport& report, Millis age) { crashes_.notePeerCrash(report, age); },
              .ownBlocks = [this] { return crashes_.ownBlocks(); },
              .onBlock = [this](uint64_t blocked) { crashes_.notePeerBlock(blocked); },
              .onSoundPart = [this](uint64_t part) { crashes_.notePeerSoundPart(part); },
              .takeLimitReports = [this] { return dispatcher_.takeLimitReports(); },
              .onLimits = [this](const std::string& node, const std::vector<LimitReport>& reports) { dispatcher_.applyLimitReports(node, reports); },
              .ownOrganisations = [this] { return clock_() - requestWaitedAt_ < organisationReportTime ? dispatcher_.ownOrganisationUses() : std::vector<OrganisationUse>(); },
              .onOrganisations = [this](const std::string& node, const std::vector<OrganisationUse>& uses) { dispatcher_.updatePeerOrganisationUses(node, uses); },
          },
          log_)
    , snapshots_(context, { .clock = clock_, .random = random_, .control = settings_.control.toString(), .endpointPrefix = adapter_.endpointPrefix, .evacuationPrefix = adapter_.evacuationPrefix, .seeds = settings_.seeds }, store_, configuration_, endpoints_, evacuated_, log_)
    , orders_(context,
          {
              .clock = clock_,
              .mayOrder = [this] { return presence_.isPlanner(); },
              .isEvacuated = [this](const std::string& domain) { return evacuated_.contains(domain); },
              .onResult = [this](const EngineOrder& order, OrderResult result) { handleOrderResult(order, result); },
              .onProbed = [this](const std::string& engine, bool isAlive, const std::optional<MembershipReport>& report) { handleProbeResult(engine, isAlive, report); },
          },
          adapter_, log_, metrics_)
    , readyServer_(context, controlServerOptions(settings_.ready))
    , controlServer_(context, controlServerOptions(settings_.control))
    , planTimer_(context, [this] { runPlanner(); })
    , tickTimer_(context, [this] { tick(); })
    , sweepTimer_(context, [this] { sweep(); })
{
    adapter_.store.eras->addListener([this](uint64_t) { metrics_.countStoreRestore(); });
}

absl::Status Gateway::start()
{
    if (const absl::Status status = proxy_.start(); !status.ok())
        return status;
    if (const absl::Status status = readyServer_.start(); !status.ok())
        return status;
    if (const absl::Status status = controlServer_.start(); !status.ok())
        return status;
    if (const absl::Status status = usage_.start(); !status.ok())
        return status;
    log_.noteChange("gateway_started", { { "node", settings_.node }, { "domain", settings_.domain }, { "callers", settings_.callers.toString() }, { "control", settings_.control.toString() }, { "store", settings_.store.toString() }, { "first_start", settings_.isFirstStart ? "true" : "false" } });
    adapter_.store = countCalls(std::move(adapter_.store), metrics_);
    store_.start();
    presence_.start();
    snapshots_.start();
    tick();
    sweep();
    return absl::OkStatus();
}

RequestServer::Options Gateway::controlServerOptions(const Endpoint& endpoint)
{
    return {
        .address = endpoint.address,
        .port = endpoint.port,
        .clock = clock_,
        .limits = std::make_shared<ServerLimits>(ServerLimits { .request = { .bodyBytes = maxControlBodyBytes }, .bodyTimeout = controlBodyTimeout, .discardBytes = settings_.bounds.discardBytes }),
        .onRequest = [this](const std::shared_ptr<ServerConnection>& connection, const ServerRequest& request) { handleControlRequest(connection, request); },
        .onRefused = [this](int status, std::string_view reason) {
            if (reason != "memory_budget")
                log_.noteFailure("request_malformed", { { "status", std::to_string(status) }, { "reason", std::string(reason) }, { "address", "control" } }); },
        .onAcceptFailed = [this](const std::string& error) { log_.noteFailure("accept_failed", { { "error", error } }); },
        .memory = callerMemory_,
        .maxConnections = settings_.bounds.controlConnections,
    };
}

uint64_t Gateway::evictedConnections() const
{
    return proxy_.evictedConnections() + readyServer_.evictedConnections() + controlServer_.evictedConnections();
}

// Reports what is held for callers and endpoints. What had to be dropped since the last call takes one line for each reason.
void Gateway::reportMemory()
{
    const uint64_t drops = callerMemory_->drops();
    const uint64_t evictions = evictedConnections();
    metrics_.setGauge("hemlockweir_caller_memory_bytes", "Bytes held for callers", static_cast<double>(callerMemory_->used()));
    metrics_.setGauge("hemlockweir_caller_memory_limit_bytes", "Bound on the bytes held for callers", static_cast<double>(callerMemory_->limit()));
    metrics_.setGauge("hemlockweir_caller_memory_drops_total", "Unfinished requests and unread answers dropped to keep the bound", static_cast<double>(drops));
    metrics_.setGauge("hemlockweir_endpoint_memory_bytes", "Bytes held for endpoints", static_cast<double>(endpointMemory_->used()));
    metrics_.setGauge("hemlockweir_endpoint_memory_limit_bytes", "Bound on the bytes held for endpoints", static_cast<double>(endpointMemory_->limit()));
    metrics_.setGauge("hemlockweir_connections_evicted_total", "Connections closed because there were too many", static_cast<double>(evictions));
    metrics_.setGauge("hemlockweir_inputs_cut_total", "Connections of which refused input was not read to its end", static_cast<double>(proxy_.cutInputs() + readyServer_.cutInputs() + controlServer_.cutInputs()));
    if (const uint64_t before = std::exchange(loggedMemoryDrops_, drops); before != drops)
        log_.noteChange("caller_memory_full", { { "dropped", std::to_string(drops - before) }, { "held_bytes", std::to_string(callerMemory_->used()) }, { "limit_bytes", std::to_string(callerMemory_->limit()) }, { "connections", std::to_string(proxy_.connectionCount()) } });
    if (const uint64_t before = std::exchange(loggedEvictions_, evictions); before != evictions)
        log_.noteChange("connections_full", { { "closed", std::to_string(evictions - before) }, { "connections", std::to_string(proxy_.connectionCount()) }, { "limit", std::to_string(settings_.bounds.callerConnections) } });
}

void Gateway::handleControlRequest(const std::shared_ptr<ServerConnection>& connection, const ServerRequest& request)
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == adapter_.readyPath || path == "/readyz")
        connection->answer(isReady() ? statusOk : statusUnavailable, {}, {});
    else if (path == "/metrics")
        connection->answer(statusOk, { { "Content-Type", "text/plain; version=0.0.4" } }, metrics_.expose());
    else if (path == PeerSnapshots::path)
        snapshots_.answer(connection, request);
    else
        connection->answer(statusNotFound, {}, {});
}

bool Gateway::isReady() const
{
    return !isStopping_ && proxy_.routes() && store_.hasData();
}

void Gateway::applyConfiguration(std::shared_ptr<const RouteTable> routes)
{
    proxy_.setRoutes(std::move(routes));
    // The buffer of a chunked body may have twice its size.
    if (const size_t largest = 2 * proxy_.routes()->configuration().limits.bodyBytes; largest > std::min(callerMemory_->limit(), endpointMemory_->limit()))
        log_.noteChange("memory_too_small", { { "largest_request_bytes", std::to_string(largest) }, { "caller_limit_bytes", std::to_string(callerMemory_->limit()) }, { "endpoint_limit_bytes", std::to_string(endpointMemory_->limit()) } });
    for (const EndpointService& service : proxy_.routes()->configuration().services) {
        if (service.engines)
            planners_.try_emplace(service.name, ReplicaPlanner::Options { .clock = clock_ });
    }
    plannedChanges_.clear();
    updateTargets();
    runPlanner();
}

void Gateway::applyEndpoints()
{
    if (std::exchange(appliedChanges_, endpoints_.changeCount()) != endpoints_.changeCount())
        updateTargets();
    evacuated_.logUnknown(endpoints_.endpoints());
    runPlanner();
}

void Gateway::updateTargets()
{
    if (!proxy_.routes())
        return;
    for (const EndpointService& service : proxy_.routes()->configuration().services)
        dispatcher_.setTargets(service.name, findTargets(endpoints_.endpoints(), service));
}

void Gateway::handleRoleChange(bool isPlanner, uint64_t)
{
    plannedChanges_.clear();
    updateWatchPause();
    if (isPlanner)
        runPlanner();
}

void Gateway::updateWatchPause()
{
    const Millis pause = watchPausePerNode * static_cast<int64_t>(presence_.peers().size() + 1);
    store_.setPause(presence_.isPlanner() ? plannerWatchPause : std::clamp(pause, minWatchPause, maxWatchPause));
}

void Gateway::runPlanner()
{
    isPlanRequested_ = false;
    plannedAt_ = clock_();
    if (!proxy_.routes() || !store_.hasData() || !presence_.isPlanner())
        return;
    for (auto& entry : planners_) {
        const std::string& name = entry.first;
        ReplicaPlanner& planner = entry.second;
        const EndpointService* service = proxy_.routes()->configuration().findService(name);
        if (!service || !service->engines)
            continue;
        const auto [planned, isNew] = plannedChanges_.try_emplace(name, 0);
        if (isNew || planned->second != endpoints_.changeCount()) {
            planned->second = endpoints_.changeCount();
            std::vector<EndpointInfo> engines;
            std::copy_if(endpoints_.endpoints().begin(), endpoints_.endpoints().end(), std::back_inserter(engines), [&](const EndpointInfo& endpoint) { return endpoint.service == name; });
            planner.setEngines(engines, *service->engines);
        }
        if (hasTraffic())
            planner.noteTraffic();
        planner.setColdTime(service->limitsColdEndpoints() ? service->coldTime : Millis(0));
        planner.setTerm(presence_.term());
        planner.noteUtilization(dispatcher_.utilization(name));
        logReplicas(name, planner);
        for (EngineOrder& order : planner.plan()) {
            order.fencingToken = presence_.term();
            orders_.send(order);
        }
    }
}

// Logs that an endpoint is cold, on the planner: all nodes read the same entries.
void Gateway::logCold(const Target& target, Millis time)
{
    if (presence_.isPlanner())
        log_.noteChange("endpoint_cold", { { "endpoint", target.id }, { "service", target.service }, { "cold_ms", std::to_string(time.count()) }, { "requests_per_s", absl::StrFormat("%g", target.coldPerSecond) } });
}

// Logs one line whenever the number of replicas changes.
void Gateway::logReplicas(const std::string& service, const ReplicaPlanner& planner)
{
    std::map<std::string, std::pair<size_t, size_t>> counts; // by model: open replicas, other replicas
    for (const ReplicaView& replica : planner.findReplicas()) {
        const bool isOpen = replica.isWhole() && !replica.hasEvacuatedMember && replica.head()->membership->state == MemberState::Open;
        auto& [open, others] = counts[replica.model];
        ++(isOpen ? open : others);
    }
    std::string text;
    for (const auto& [model, count] : counts)
        absl::StrAppend(&text, text.empty() ? "" : ";", model, ":", count.first, "+", count.second);
    if (std::exchange(loggedReplicas_[service], text) == text)
        return;
    log_.noteChange("replicas", { { "service", service }, { "open_and_other", text }, { "idle_engines", planner.describeIdleEngines() }, { "list_age_ms", std::to_string((clock_() - store_.answeredAt()).count()) } });
}

void Gateway::requestPlan()
{
    if (isPlanRequested_)
        return;
    isPlanRequested_ = true;
    planTimer_.callAfter(std::max(Millis(0), plannedAt_ + minPlanInterval - clock_()));
}

// Handles a failed target: the planner probes which members of its replica are alive.
void Gateway::handleSuspect(const Target& target, bool isUnresponsive)
{
    if (target.model.empty())
        return;
    if (isUnresponsive) {
        usage_.addSuspect(hashTarget(target.id));
        usage_.publishSoon();
    }
    probeReplica(target.service, target.id);
}

void Gateway::handlePeerSuspect(uint32_t target)
{
    dispatcher_.notePeerFailure(target);
    if (!presence_.isPlanner())
        return;
    for (const EndpointInfo& endpoint : endpoints_.endpoints()) {
        if (endpoint.membership && endpoint.membership->rank == 0 && hashTarget(endpoint.id) == target)
            probeReplica(endpoint.service, endpoint.id);
    }
}

void Gateway::probeReplica(const std::string& service, const std::string& head)
{
    const auto planner = planners_.find(service);
    if (planner == planners_.end() || !presence_.isPlanner())
        return;
    // When a replica fails, many of its requests fail at once. One round of probes is enough for all of them.
    const Millis now = clock_();
    Millis& probedAt = replicaProbedAt_[head];
    if (now - probedAt < replicaProbeInterval)
        return;
    probedAt = now;
    const std::vector<std::string> members = planner->second.membersOfHead(head);
    for (const EndpointInfo& endpoint : endpoints_.endpoints()) {
        if (!endpoint.isEvacuated && std::find(members.begin(), members.end(), endpoint.id) != members.end())
            orders_.probe(endpoint);
    }
}

// Probes engines whose listed state may be wrong: an engine may be alive although the platform doesn't list it, or
// listed although it is dead.
void Gateway::probeUnverified()
{
    if (!presence_.isPlanner())
        return;
    for (const auto& [name, planner] : planners_) {
        for (const EndpointInfo& engine : planner.findUnverified())
            orders_.probe(engine);
    }
}

// Handles a connection to an endpoint that was lost during a request. If the endpoint is down, the request may have
// crashed it. An endpoint in an evacuated failure domain is not asked, so the loss counts as no crash.
void Gateway::handleConnectionLost(const std::string& endpoint)
{
    const Millis now = clock_();
    Millis& probedAt = lostConnectionProbedAt_[endpoint];
    if (now - probedAt < lostConnectionProbeInterval)
        return;
    probedAt = now;
    const std::vector<EndpointInfo>& endpoints = endpoints_.endpoints();
    const auto found = std::find_if(endpoints.begin(), endpoints.end(), [&](const EndpointInfo& info) { return info.id == endpoint; });
    if (found != endpoints.end() && !found->isEvacuated)
        orders_.probe(*found);
    else if (found == endpoints.end())
        crashes_.noteEndpointDown(endpoint);
}

// Returns the suspected parts of a prompt for a log line: "POSITION:HASH,...", the last ones first, as they are examined first.
static std::string formatSuspects(const std::vector<uint64_t>& parts)
{
    constexpr size_t maxLogged = 8;
    std::vector<std::string> texts;
    for (size_t position = parts.size(); position > 0 && texts.size() < maxLogged; --position) {
        if (parts[position - 1] != 0)
            texts.push_back(absl::StrFormat("%d:%016x", position - 1, parts[position - 1]));
    }
    return texts.empty() ? "none" : absl::StrJoin(texts, ",");
}

void Gateway::publishCrash(const CrashReport& report, const std::string& endpoint)
{
    log_.noteFailure("endpoint_crashed", { { "endpoint", endpoint }, { "fingerprint", absl::StrFormat("%016x", report.subject.request) }, { "suspect_parts", formatSuspects(report.subject.sharedParts) } });
    usage_.addCrash(report);
    usage_.publishSoon();
}

void Gateway::publishSoundPart(uint64_t part)
{
    log_.noteFailure("part_cleared", { { "part", absl::StrFormat("%016x", part) } });
    usage_.addSoundPart(part);
}

void Gateway::handleProbeResult(const std::string& engine, bool isAlive, const std::optional<MembershipReport>& report)
{
    if (!isAlive)
        crashes_.noteEndpointDown(engine);
    bool hasNews = false;
    for (auto& [name, planner] : planners_)
        hasNews = (isAlive && report && planner.noteReport(engine, report->membership)) || hasNews;
    if (hasNews)
        requestPlan();
    bool hasChanged = false;
    for (auto& [name, planner] : planners_)
        hasChanged = planner.noteProbe(engine, isAlive) || hasChanged;
    if (isAlive || !hasChanged)
        return;
    log_.noteChange("engine_dead", { { "engine", engine }, { "list_age_ms", std::to_string((clock_() - store_.answeredAt()).count()) } });
    requestPlan();
}

void Gateway::handleOrderResult(const EngineOrder& order, OrderResult result)
{
    for (auto& [name, planner] : planners_)
        planner.noteResult(order, result);
    requestPlan();
}

void Gateway::tick()
{
    proxy_.tick();
    if (dispatcher_.waitingCount() > 0)
        requestWaitedAt_ = clock_();
    if (isStopping_)
        checkStop();
    tickTimer_.callAfter(tickInterval);
}

static std::vector<std::string> peerNames(const std::vector<Presence::Peer>& peers)
{
    std::vector<std::string> names;
    std::transform(peers.begin(), peers.end(), std::back_inserter(names), [](const Presence::Peer& peer) { return peer.node; });
    return names;
}

void Gateway::sweep()
{
    proxy_.sweep();
    orders_.sweep();
    readyServer_.sweep();
    controlServer_.sweep();
    crashes_.sweep();
    storedBlocks_.update();
    snapshots_.setPeers(presence_.peers());
    probeUnverified();
    updateWatchPause();
    usage_.setPeers(presence_.peers());
    dispatcher_.setPeerNodes(peerNames(presence_.peers()));
    dispatcher_.setOwnListing(presence_.isListed() ? std::optional(store_.answeredAt()) : std::nullopt);
    for (auto* probes : { &replicaProbedAt_, &lostConnectionProbedAt_ })
        std::erase_if(*probes, [this](const auto& entry) { return clock_() - entry.second > sweepInterval * 10; });
    retries_.setNodeCount(presence_.peers().size() + 1);
    updateOrganisationMetrics();
    metrics_.setGauge("hemlockweir_proxy_waiting", "Requests that wait for a place", static_cast<double>(dispatcher_.waitingCount()));
    metrics_.setGauge("hemlockweir_proxy_flows", "Requests at work", static_cast<double>(proxy_.flowCount()));
    metrics_.setGauge("hemlockweir_proxy_connections", "Open connections of callers", static_cast<double>(proxy_.connectionCount()));
    metrics_.setGauge("hemlockweir_store_age_seconds", "Since the store last answered for the configuration, the endpoints and the nodes", std::chrono::duration<double>(clock_() - store_.answeredAt()).count());
    metrics_.setGauge("hemlockweir_evacuated_domains", "Failure domains that operators have evacuated", static_cast<double>(evacuated_.size()));
    metrics_.setGauge("hemlockweir_cold_endpoints", "Endpoints that take fewer requests because they are cold", static_cast<double>(dispatcher_.limits().coldCount()));
    metrics_.setGauge("hemlockweir_cold_sends", "Requests sent to cold endpoints since the start", static_cast<double>(dispatcher_.limits().coldSends()));
    metrics_.setGauge("hemlockweir_crash_blocks", "Requests and parts of prompts that are blocked because they crash endpoints", static_cast<double>(crashes_.blocks().size()));
    metrics_.setGauge("hemlockweir_store_era", "Era of the platform's store, 0 if it tells none", static_cast<double>(adapter_.store.eras->current()));
    logIgnoredEras();
    reportMemory();
    endpoints_.logChanges();
    log_.reportOmitted();
    sweepTimer_.callAfter(sweepInterval);
}

// Logs at most one line for each sweep, however many answers of the store have no usable era.
void Gateway::logIgnoredEras()
{
    const StoreEras::Ignored ignored = adapter_.store.eras->takeIgnored();
    if (ignored == StoreEras::Ignored {})
        return;
    log_.noteChange("store_era_ignored", { { "era", std::to_string(adapter_.store.eras->current()) }, { "unreadable", std::to_string(ignored.unreadable) }, { "lower_dropped", std::to_string(ignored.lower) } });
}

void Gateway::updateOrganisationMetrics()
{
    if (!proxy_.routes())
        return;
    std::map<std::string, double> uses;
    for (const Organisation& organisation : proxy_.routes()->configuration().organisations)
        uses[organisation.name] = dispatcher_.organisationUse(organisation.name);
    metrics_.setOrganisationUses(uses);
}

void Gateway::reload(const absl::StatusOr<GatewaySettings>& settings)
{
    if (!settings.ok()) {
        log_.noteChange("settings_refused", { { "error", std::string(settings.status().message()) } });
        return;
    }
    settings_.grace = settings->grace;
    retries_.setLimits(settings->retriesPerRequest, settings->retryAllowance);
    log_.noteChange("settings_reloaded", { { "grace_ms", std::to_string(settings_.grace.count()) }, { "retry_allowance", std::to_string(settings->retryAllowance) } });
}

void Gateway::noteUnexpectedError(const std::string& error)
{
    log_.noteFailure("unexpected_error", { { "error", error } });
}

void Gateway::stop(std::function<void()> onStopped)
{
    if (isStopping_)
        return;
    log_.noteChange("gateway_stopping", { { "requests", std::to_string(proxy_.flowCount()) }, { "connections", std::to_string(proxy_.connectionCount()) } });
    isStopping_ = true;
    stopStartedAt_ = clock_();
    onStopped_ = std::move(onStopped);
    presence_.resign();
    proxy_.startShutdown({
        .startedAt = stopStartedAt_,
        .deregisteredAt = stopStartedAt_ + std::min(deregistrationDelay, settings_.grace / 2),
        .endsAt = stopStartedAt_ + settings_.grace - exitMargin,
    });
}

// Finishes the shutdown once the balancer has removed the node and all requests are answered, or the grace period
// is over.
void Gateway::checkStop()
{
    const Millis elapsed = clock_() - stopStartedAt_;
    if (elapsed < std::min(listenDelay, settings_.grace / 2))
        return;
    if (!hasStoppedListening_) {
        hasStoppedListening_ = true;
        proxy_.stopListening();
    }
    const bool isGraceOver = clock_() >= proxyContext_.shutdown->endsAt;
    if ((!proxy_.isIdle() && !isGraceOver) || !onStopped_)
        return;
    log_.noteChange("gateway_stopped", { { "requests_left", std::to_string(proxy_.flowCount()) }, { "unsent_bytes", std::to_string(proxy_.unsentBytes()) }, { "took_ms", std::to_string(elapsed.count()) } });
    proxy_.endShutdown();
    log_.reportOmitted();
    std::exchange(onStopped_, {})();
}

} // namespace hemlockweir
