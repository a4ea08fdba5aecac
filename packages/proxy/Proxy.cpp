#include "proxy/Proxy.h"

#include <algorithm>

namespace hemlockweir {

Proxy::Proxy(boost::asio::io_context& context, const Options& options, ProxyContext& shared)
    : proxyContext_(shared)
    , server_(context,
          {
              .address = options.address,
              .port = options.port,
              .clock = options.clock,
              .limits = std::make_shared<ServerLimits>(ServerLimits { .discardBytes = options.discardBytes }),
              .onRequest = [this](const std::shared_ptr<ServerConnection>& from, ServerRequest request) { startFlow(from, std::move(request)); },
              .onRefused =
                  [this](int status, std::string_view reason) {
                      proxyContext_.metrics.countRequest("", 0, "refused", std::string(reason));
                      // Drops for want of memory come in floods, and Gateway logs their number.
                      if (reason != "memory_budget")
                          proxyContext_.log.noteFailure("request_malformed", { { "status", std::to_string(status) }, { "reason", std::string(reason) } });
                  },
              .onAcceptFailed = [this](const std::string& error) { proxyContext_.log.noteFailure("accept_failed", { { "error", error }, { "connections", std::to_string(connectionCount()) } }); },
              .memory = options.memory,
              .maxConnections = options.maxConnections,
          })
{
}

void Proxy::startFlow(const std::shared_ptr<ServerConnection>& connection, ServerRequest request)
{
    const uint64_t id = nextFlow_++;
    const auto flow = std::make_shared<ProxyFlow>(proxyContext_,
        ProxyFlow::Options {
            .id = id,
            .routes = routes_,
            .caller = connection,
            .request = std::move(request),
            .onDone = [this](uint64_t done) { flows_.erase(done); },
        });
    flows_.emplace(id, flow);
    flow->start();
}

void Proxy::setRoutes(std::shared_ptr<const RouteTable> routes)
{
    routes_ = std::move(routes);
    proxyContext_.serviceTimes.retainIf([this](const std::string& name) {
        const std::vector<Route>& known = routes_->configuration().routes;
        return std::any_of(known.begin(), known.end(), [&](const Route& route) { return route.name == name; });
    });
    proxyContext_.dispatcher.setOrganisations(routes_->configuration().organisations);
    const CallerLimits& limits = routes_->configuration().limits;
    server_.setLimits({
        .request = { .headBytes = limits.headBytes, .bodyBytes = limits.bodyBytes },
        .headTimeout = limits.headTimeout,
        .idleTimeout = limits.idleTimeout,
        .discardBytes = server_.limits().discardBytes,
    });
}

void Proxy::startShutdown(const ShutdownWindow& window)
{
    proxyContext_.shutdown = window;
    server_.closeAfterAnswers();
}

void Proxy::endShutdown()
{
    const auto flows = flows_;
    for (const auto& [id, flow] : flows)
        flow->handleExit();
}

void Proxy::tick()
{
    const auto flows = flows_;
    for (const auto& [id, flow] : flows)
        flow->checkTimeouts();
    proxyContext_.dispatcher.tick();
}

void Proxy::sweep()
{
    server_.sweep();
    proxyContext_.pool.sweep();
}

} // namespace hemlockweir
