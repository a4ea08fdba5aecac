#include "gateway/Gateway.h"

#include "gateway/CountedStore.h"
#include "http/StatusCodes.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace hemlockweir {

namespace asio = boost::asio;

// How exactly time limits of requests are kept.
static constexpr Millis tickInterval { 20 };
static constexpr Millis sweepInterval { 500 };
// Between two questions to the members of one replica.
static constexpr Millis probeInterval { 300 };
// Between two questions to one endpoint on which requests broke. Most of them live: a lost answer is no crash.
static constexpr Millis brokenProbeInterval { 1000 };
// Changes of engines reach the node that gives them orders sooner.
static constexpr Millis plannerListPause { 80 };
// The other nodes share the store's rate: with more of them each asks less often, within the time in
// which a leaving endpoint must get no more requests.
static constexpr Millis listPausePerNode { 50 };
static constexpr Millis leastListPause { 200 };
static constexpr Millis mostListPause { 1100 };
// The balancer asks once a second and takes a node out after two misses; new connections come until then.
static constexpr Millis doorTime { 3500 };
// Left of the grace for the process to end.
static constexpr Millis graceMargin { 500 };

Gateway::Gateway(asio::io_context& context, GatewaySettings settings, const MakeAdapter& makeAdapter)
    : context_(context)
    , settings_(std::move(settings))
    , clock_(makeSteadyClock())
    , random_(makeSystemRandom())
    , log_({ .clock = clock_ })
    , adapter_(makeAdapter(context, settings_, clock_, log_))
    , dispatcher_({ .clock = clock_, .random = random_, .domain = settings_.domain, .onSuspect = [this](const Target& target, bool isSilent) { takeSuspect(target, isSilent); }, .onUsageChanged = [this] { usage_.tellSoon(); } })
    , pool_(context, { .clock = clock_ })
    , retries_({ .clock = clock_, .window = settings_.retryWindow, .retriesPerRequest = settings_.retriesPerRequest, .allowance = settings_.retryAllowance })
    , crashes_({ .clock = clock_, .onConnectionLost = [this](const std::string& endpoint) { takeBroken(endpoint); }, .onCrash = [this](uint64_t request, uint32_t endpoint) { usage_.addCrash({ .request = request, .endpoint = endpoint }); } })
    , shared_ { .clock = clock_, .random = random_, .headers = adapter_.headers, .dispatcher = dispatcher_, .pool = pool_, .retries = retries_, .crashes = crashes_, .log = log_, .metrics = metrics_ }
    , proxy_(context, { .address = settings_.callers.address, .port = settings_.callers.port, .clock = clock_ }, shared_)
    , store_(context, { .clock = clock_, .prefixes = { adapter_.configurationKey, adapter_.endpointPrefix, Presence::keyPrefix } }, adapter_.store, log_)
    , configuration_({ .onConfiguration = [this](std::shared_ptr<const RouteTable> routes) { takeConfiguration(std::move(routes)); } }, store_, adapter_, log_)
    , endpoints_({ .clock = clock_, .onChange = [this] { takeEndpoints(); } }, store_, adapter_, log_)
    , presence_(context,
          {
              .clock = clock_,
              .node = settings_.node,
              .address = settings_.peers.toString(),
              .control = settings_.control.toString(),
              .boot = settings_.node + "-" + makeRandomId(random_),
              .onRole = [this](bool isPlanner, uint64_t term) { takeRole(isPlanner, term); },
          },
          store_, adapter_, log_)
    , usage_(context,
          {
              .clock = clock_,
              .node = settings_.node,
              .address = settings_.peers,
              .ownUsage = [this] { return dispatcher_.ownUsage(); },
              .onUsage = [this](const std::string& node, PeerUsage usage) { dispatcher_.updatePeerUsage(node, std::move(usage)); },
              .onSuspect = [this](uint32_t target) { takePeerSuspect(target); },
              .onCrash = [this](const CrashRow& crash) { crashes_.notePeerCrash(crash.request, crash.endpoint); },
          },
          log_)
    , snapshots_(context, { .clock = clock_, .random = random_, .control = settings_.control.toString(), .endpointPrefix = adapter_.endpointPrefix, .seeds = settings_.seeds }, store_, configuration_, endpoints_, log_)
    , orders_(context,
          {
              .clock = clock_,
              .onResult = [this](const EngineOrder& order, OrderResult result) { takeOrderResult(order, result); },
              .onProbed = [this](const std::string& engine, bool isAlive) { takeProbe(engine, isAlive); },
          },
          adapter_, log_, metrics_)
    , readyDoor_(context, doorAt(settings_.ready))
    , controlDoor_(context, doorAt(settings_.control))
    , tickTimer_(context, [this] { tick(); })
    , sweepTimer_(context, [this] { sweep(); })
{
}

absl::Status Gateway::start()
{
    if (const absl::Status status = proxy_.start(); !status.ok())
        return status;
    if (const absl::Status status = readyDoor_.start(); !status.ok())
        return status;
    if (const absl::Status status = controlDoor_.start(); !status.ok())
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

RequestServer::Options Gateway::doorAt(const Endpoint& endpoint)
{
    return {
        .address = endpoint.address,
        .port = endpoint.port,
        .clock = clock_,
        .onRequest = [this](const std::shared_ptr<ServerConnection>& from, const ServerRequest& request) { answerControl(from, request); },
        .onAcceptFailed = [this](const std::string& error) { log_.noteFailure("accept_failed", { { "error", error } }); },
    };
}

void Gateway::answerControl(const std::shared_ptr<ServerConnection>& connection, const ServerRequest& request)
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
    return !isStopping_ && proxy_.routes() && store_.hasRead();
}

void Gateway::takeConfiguration(std::shared_ptr<const RouteTable> routes)
{
    proxy_.setRoutes(std::move(routes));
    for (const EndpointService& service : proxy_.routes()->configuration().services) {
        if (service.engines)
            planners_.try_emplace(service.name, ReplicaPlanner::Options { .clock = clock_ });
    }
    updateTargets();
    runPlanner();
}

void Gateway::takeEndpoints()
{
    updateTargets();
    runPlanner();
}

void Gateway::updateTargets()
{
    if (!proxy_.routes())
        return;
    for (const EndpointService& service : proxy_.routes()->configuration().services)
        dispatcher_.setTargets(service.name, findTargets(endpoints_.endpoints(), service));
}

void Gateway::takeRole(bool isPlanner, uint64_t)
{
    updateListPause();
    if (isPlanner)
        runPlanner();
}

void Gateway::updateListPause()
{
    const Millis shared = listPausePerNode * static_cast<int64_t>(presence_.peers().size() + 1);
    store_.setPause(presence_.isPlanner() ? plannerListPause : std::clamp(shared, leastListPause, mostListPause));
}

void Gateway::runPlanner()
{
    isPlanRequested_ = false;
    if (!proxy_.routes() || !store_.hasRead() || !presence_.isPlanner())
        return;
    for (auto& entry : planners_) {
        const std::string& name = entry.first;
        ReplicaPlanner& planner = entry.second;
        const EndpointService* service = proxy_.routes()->configuration().findService(name);
        if (!service || !service->engines)
            continue;
        std::vector<EndpointInfo> engines;
        std::copy_if(endpoints_.endpoints().begin(), endpoints_.endpoints().end(), std::back_inserter(engines), [&](const EndpointInfo& endpoint) { return endpoint.service == name; });
        planner.setEngines(engines, *service->engines);
        if (proxy_.hasReceivedRequest() || !settings_.isFirstStart)
            planner.noteTraffic();
        planner.setTerm(presence_.term());
        tellReplicas(name, planner);
        for (EngineOrder& order : planner.plan()) {
            order.fencingToken = presence_.term();
            orders_.send(order);
        }
    }
}

// One line whenever the number of replicas changes.
void Gateway::tellReplicas(const std::string& service, const ReplicaPlanner& planner)
{
    std::map<std::string, std::pair<size_t, size_t>> counts; // by model: open, and others
    for (const ReplicaView& replica : planner.findReplicas()) {
        const bool isOpen = replica.isWhole() && replica.head()->membership->state == MemberState::Open;
        auto& [open, others] = counts[replica.model];
        ++(isOpen ? open : others);
    }
    std::string text;
    for (const auto& [model, count] : counts)
        absl::StrAppend(&text, text.empty() ? "" : ";", model, ":", count.first, "+", count.second);
    if (std::exchange(toldReplicas_[service], text) == text)
        return;
    log_.noteChange("replicas", { { "service", service }, { "open_and_other", text }, { "idle_engines", planner.describeIdleEngines() }, { "list_age_ms", std::to_string((clock_() - store_.heardAt()).count()) } });
}

void Gateway::requestPlan()
{
    if (isPlanRequested_)
        return;
    isPlanRequested_ = true;
    asio::post(context_, [this] { runPlanner(); });
}

// A target gave no answer: the planner finds out which members of its replica still live.
void Gateway::takeSuspect(const Target& target, bool isSilent)
{
    if (target.model.empty())
        return;
    if (isSilent) {
        usage_.addSuspect(hashTarget(target.id));
        usage_.tellSoon();
    }
    probeReplica(target.service, target.id);
}

void Gateway::takePeerSuspect(uint32_t target)
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
    // Many requests fail on one replica at once; one round of questions answers for all.
    const Millis now = clock_();
    Millis& probedAt = probedAt_[head];
    if (now - probedAt < probeInterval)
        return;
    probedAt = now;
    const std::vector<std::string> members = planner->second.membersOfHead(head);
    for (const EndpointInfo& endpoint : endpoints_.endpoints()) {
        if (std::find(members.begin(), members.end(), endpoint.id) != members.end())
            orders_.probe(endpoint);
    }
}

// An engine may be cut off from the platform and live, or be listed and dead.
void Gateway::probeDoubtful()
{
    if (!presence_.isPlanner())
        return;
    for (const auto& [name, planner] : planners_) {
        for (const EndpointInfo& engine : planner.findUnverified())
            orders_.probe(engine);
    }
}

// A request broke on an endpoint: unless that one lives, the request may have crashed it.
void Gateway::takeBroken(const std::string& endpoint)
{
    const Millis now = clock_();
    Millis& probedAt = brokenProbedAt_[endpoint];
    if (now - probedAt < brokenProbeInterval)
        return;
    probedAt = now;
    const std::vector<EndpointInfo>& endpoints = endpoints_.endpoints();
    const auto found = std::find_if(endpoints.begin(), endpoints.end(), [&](const EndpointInfo& info) { return info.id == endpoint; });
    if (found != endpoints.end())
        orders_.probe(*found);
    else
        crashes_.noteEndpointDown(endpoint);
}

void Gateway::takeProbe(const std::string& engine, bool isAlive)
{
    if (!isAlive)
        crashes_.noteEndpointDown(engine);
    bool isNews = false;
    for (auto& [name, planner] : planners_)
        isNews = planner.noteProbe(engine, isAlive) || isNews;
    if (isAlive || !isNews)
        return;
    log_.noteChange("engine_dead", { { "engine", engine }, { "list_age_ms", std::to_string((clock_() - store_.heardAt()).count()) } });
    requestPlan();
}

void Gateway::takeOrderResult(const EngineOrder& order, OrderResult result)
{
    for (auto& [name, planner] : planners_)
        planner.noteResult(order, result);
    requestPlan();
}

void Gateway::tick()
{
    proxy_.tick();
    if (isStopping_)
        checkStop();
    tickTimer_.callAfter(tickInterval);
}

void Gateway::sweep()
{
    proxy_.sweep();
    orders_.sweep();
    readyDoor_.sweep();
    controlDoor_.sweep();
    crashes_.sweep();
    snapshots_.setPeers(presence_.peers());
    probeDoubtful();
    updateListPause();
    usage_.setPeers(presence_.peers());
    for (auto* probes : { &probedAt_, &brokenProbedAt_ })
        std::erase_if(*probes, [this](const auto& entry) { return clock_() - entry.second > sweepInterval * 10; });
    retries_.setNodeCount(presence_.peers().size() + 1);
    metrics_.setGauge("hemlockweir_proxy_waiting", "Requests that wait for a place", static_cast<double>(dispatcher_.waitingCount()));
    metrics_.setGauge("hemlockweir_proxy_flows", "Requests at work", static_cast<double>(proxy_.flowCount()));
    metrics_.setGauge("hemlockweir_proxy_connections", "Open connections of callers", static_cast<double>(proxy_.connectionCount()));
    metrics_.setGauge("hemlockweir_store_age_seconds", "Since the store last answered for the configuration, the endpoints and the nodes", std::chrono::duration<double>(clock_() - store_.heardAt()).count());
    log_.reportOmitted();
    sweepTimer_.callAfter(sweepInterval);
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

void Gateway::stop(std::function<void()> onStopped)
{
    if (isStopping_)
        return;
    log_.noteChange("gateway_stopping", { { "requests", std::to_string(proxy_.flowCount()) }, { "connections", std::to_string(proxy_.connectionCount()) } });
    isStopping_ = true;
    stopBegunAt_ = clock_();
    onStopped_ = std::move(onStopped);
    presence_.resign();
    proxy_.startShutdown();
}

// Ends once the balancer has taken the node out and all requests are answered, or the grace is over.
void Gateway::checkStop()
{
    const Millis since = clock_() - stopBegunAt_;
    if (since < std::min(doorTime, settings_.grace / 2))
        return;
    if (!isDoorClosed_) {
        isDoorClosed_ = true;
        proxy_.stopListening();
    }
    const bool isOver = since >= settings_.grace - graceMargin;
    if ((!proxy_.isIdle() && !isOver) || !onStopped_)
        return;
    log_.noteChange("gateway_stopped", { { "requests_left", std::to_string(proxy_.flowCount()) }, { "took_ms", std::to_string(since.count()) } });
    log_.reportOmitted();
    std::exchange(onStopped_, {})();
}

} // namespace hemlockweir
