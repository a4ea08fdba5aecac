#include "gateway/Gateway.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace hemlockweir {

namespace asio = boost::asio;
using boost::system::error_code;

// How exactly time limits of requests are kept.
static constexpr Millis tickInterval { 20 };
static constexpr Millis sweepInterval { 500 };
// Between two questions to the members of one replica.
static constexpr Millis probeInterval { 300 };
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
    , dispatcher_({ .clock = clock_, .random = random_, .domain = settings_.domain, .onSuspect = [this](const Target& target, bool isSilent) { takeSuspect(target, isSilent); }, .onUseChanged = [this] { usage_.tellSoon(); } })
    , pool_(context, { .clock = clock_ })
    , retries_({ .clock = clock_, .window = settings_.retryWindow, .perRequest = settings_.retriesPerRequest, .allowance = settings_.retryAllowance })
    , shared_ { .clock = clock_, .random = random_, .headers = adapter_.headers, .dispatcher = dispatcher_, .pool = pool_, .retries = retries_, .log = log_, .metrics = metrics_ }
    , proxy_(context, { .address = settings_.callers.address, .port = settings_.callers.port, .clock = clock_ }, shared_)
    , configuration_(context, { .clock = clock_, .onConfiguration = [this](std::shared_ptr<const RouteTable> routes) { takeConfiguration(std::move(routes)); } }, adapter_, log_)
    , endpoints_(context, { .clock = clock_, .onChange = [this] { takeEndpoints(); } }, adapter_, log_)
    , presence_(context,
          {
              .clock = clock_,
              .node = settings_.node,
              .address = settings_.peers.toString(),
              .boot = settings_.node + "-" + makeRandomId(random_),
              .onRole = [this](bool isPlanner, uint64_t term) { takeRole(isPlanner, term); },
          },
          adapter_, log_)
    , usage_(context,
          {
              .clock = clock_,
              .node = settings_.node,
              .address = settings_.peers,
              .ownUsage = [this] { return dispatcher_.ownUsage(); },
              .onUsage = [this](const std::string& node, PeerUsage usage) { dispatcher_.notePeer(node, std::move(usage)); },
              .onSuspect = [this](uint32_t target) { takePeerSuspect(target); },
          },
          log_)
    , orders_(context,
          {
              .clock = clock_,
              .onResult = [this](const EngineOrder& order, OrderResult result) { takeOrderResult(order, result); },
              .onProbed = [this](const std::string& engine, bool isAlive) { takeProbe(engine, isAlive); },
          },
          adapter_, log_, metrics_)
    , readyAcceptor_(context)
    , controlAcceptor_(context)
    , controlLimits_(std::make_shared<ServerLimits>())
    , tickTimer_(context, [this] { tick(); })
    , sweepTimer_(context, [this] { sweep(); })
{
}

absl::Status Gateway::start()
{
    if (const absl::Status status = proxy_.start(); !status.ok())
        return status;
    if (const absl::Status status = listenTo(settings_.ready, readyAcceptor_); !status.ok())
        return status;
    if (const absl::Status status = listenTo(settings_.control, controlAcceptor_); !status.ok())
        return status;
    if (const absl::Status status = usage_.start(); !status.ok())
        return status;
    log_.noteChange("gateway_started", { { "node", settings_.node }, { "domain", settings_.domain }, { "callers", settings_.callers.toString() }, { "control", settings_.control.toString() }, { "store", settings_.store.toString() }, { "first_start", settings_.isFirstStart ? "true" : "false" } });
    configuration_.start();
    endpoints_.start();
    presence_.start();
    tick();
    sweep();
    return absl::OkStatus();
}

absl::Status Gateway::listenTo(const Endpoint& endpoint, asio::ip::tcp::acceptor& acceptor)
{
    error_code error;
    const asio::ip::tcp::endpoint address(asio::ip::make_address(endpoint.address, error), endpoint.port);
    if (!error)
        acceptor.open(address.protocol(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(address, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return absl::UnavailableError(absl::StrCat("can't listen on ", endpoint.toString(), ": ", error.message()));
    acceptControl(acceptor);
    return absl::OkStatus();
}

void Gateway::acceptControl(asio::ip::tcp::acceptor& acceptor)
{
    acceptor.async_accept([this, &acceptor](const error_code& error, SocketWriter::Socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error) {
            const auto connection = std::make_shared<ServerConnection>(std::move(socket),
                ServerConnection::Options {
                    .limits = controlLimits_,
                    .clock = clock_,
                    .onRequest = [this](const std::shared_ptr<ServerConnection>& from, const ServerRequest& request) { answerControl(from, request); },
                    .onClosed = [this](const std::shared_ptr<ServerConnection>& closed) { controlConnections_.erase(closed); },
                });
            controlConnections_.insert(connection);
            connection->start();
        }
        acceptControl(acceptor);
    });
}

void Gateway::answerControl(const std::shared_ptr<ServerConnection>& connection, const ServerRequest& request)
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == adapter_.readyPath || path == "/readyz")
        connection->answer(isReady() ? 200 : 503, {}, {});
    else if (path == "/metrics")
        connection->answer(200, { { "Content-Type", "text/plain; version=0.0.4" } }, metrics_.expose());
    else
        connection->answer(404, {}, {});
}

bool Gateway::isReady() const
{
    return !isStopping_ && proxy_.routes() && endpoints_.hasRead();
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
    endpoints_.setPause(presence_.isPlanner() ? plannerListPause : std::clamp(shared, leastListPause, mostListPause));
}

void Gateway::runPlanner()
{
    isPlanRequested_ = false;
    if (!proxy_.routes() || !endpoints_.hasRead() || !presence_.isPlanner())
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
        if (proxy_.hasServed() || !settings_.isFirstStart)
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
    log_.noteChange("replicas", { { "service", service }, { "open_and_other", text }, { "idle_engines", std::to_string(planner.countIdle()) }, { "idle_loading", std::to_string(planner.countLoadingIdle()) }, { "list_age_ms", std::to_string((clock_() - endpoints_.readAt()).count()) } });
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
        for (const EndpointInfo& engine : planner.findDoubtful())
            orders_.probe(engine);
    }
}

void Gateway::takeProbe(const std::string& engine, bool isAlive)
{
    bool isNews = false;
    for (auto& [name, planner] : planners_)
        isNews = planner.noteProbe(engine, isAlive) || isNews;
    if (isAlive || !isNews)
        return;
    log_.noteChange("engine_dead", { { "engine", engine }, { "list_age_ms", std::to_string((clock_() - endpoints_.readAt()).count()) } });
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
    const auto connections = controlConnections_;
    for (const auto& connection : connections)
        connection->checkTimeouts();
    probeDoubtful();
    updateListPause();
    usage_.setPeers(presence_.peers());
    std::erase_if(probedAt_, [this](const auto& entry) { return clock_() - entry.second > sweepInterval * 10; });
    retries_.setNodeCount(presence_.peers().size() + 1);
    metrics_.setGauge("hemlockweir_proxy_waiting", "Requests that wait for a place", static_cast<double>(dispatcher_.waitingCount()));
    metrics_.setGauge("hemlockweir_proxy_flows", "Requests at work", static_cast<double>(proxy_.flowCount()));
    metrics_.setGauge("hemlockweir_proxy_connections", "Open connections of callers", static_cast<double>(proxy_.connectionCount()));
    metrics_.setGauge("hemlockweir_endpoint_list_age_seconds", "Since the list of endpoints was read", std::chrono::duration<double>(clock_() - endpoints_.readAt()).count());
    metrics_.setGauge("hemlockweir_configuration_age_seconds", "Since the store last answered for the configuration", std::chrono::duration<double>(clock_() - configuration_.heardAt()).count());
    log_.tellOmitted();
    sweepTimer_.callAfter(sweepInterval);
}

void Gateway::reload(const absl::StatusOr<GatewaySettings>& settings)
{
    if (!settings.ok()) {
        log_.noteChange("settings_refused", { { "error", std::string(settings.status().message()) } });
        return;
    }
    settings_.grace = settings->grace;
    retries_.setBounds(settings->retriesPerRequest, settings->retryAllowance);
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
    proxy_.startStop();
}

// Ends once the balancer has taken the node out and all requests are answered, or the grace is over.
void Gateway::checkStop()
{
    const Millis since = clock_() - stopBegunAt_;
    if (since < std::min(doorTime, settings_.grace / 2))
        return;
    if (!isDoorClosed_) {
        isDoorClosed_ = true;
        proxy_.closeDoor();
    }
    const bool isOver = since >= settings_.grace - graceMargin;
    if ((!proxy_.isIdle() && !isOver) || !onStopped_)
        return;
    log_.noteChange("gateway_stopped", { { "requests_left", std::to_string(proxy_.flowCount()) }, { "took_ms", std::to_string(since.count()) } });
    log_.tellOmitted();
    std::exchange(onStopped_, {})();
}

} // namespace hemlockweir
