#include "proxy/Proxy.h"

#include <absl/strings/str_cat.h>

namespace hemlockweir {

namespace asio = boost::asio;
using boost::system::error_code;

// Connections that the kernel holds until they are accepted.
static constexpr int listenBacklog = 1024;

Proxy::Proxy(asio::io_context& context, Options options, ProxyContext& shared)
    : options_(std::move(options))
    , shared_(shared)
    , acceptor_(context)
    , limits_(std::make_shared<ServerLimits>())
{
}

Proxy::~Proxy() = default;

absl::Status Proxy::start()
{
    error_code error;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(options_.address, error), options_.port);
    if (!error)
        acceptor_.open(endpoint.protocol(), error);
    if (!error)
        acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor_.bind(endpoint, error);
    if (!error)
        acceptor_.listen(listenBacklog, error);
    if (error)
        return absl::UnavailableError(absl::StrCat("can't listen on ", options_.address, ":", options_.port, " for callers: ", error.message()));
    accept();
    return absl::OkStatus();
}

void Proxy::accept()
{
    acceptor_.async_accept([this](const error_code& error, SocketWriter::Socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (error)
            shared_.log.noteFailure("accept_failed", { { "error", error.message() }, { "connections", std::to_string(connections_.size()) } });
        else
            addConnection(std::move(socket));
        accept();
    });
}

void Proxy::addConnection(SocketWriter::Socket socket)
{
    const auto connection = std::make_shared<ServerConnection>(std::move(socket),
        ServerConnection::Options {
            .limits = limits_,
            .clock = options_.clock,
            .onRequest = [this](const std::shared_ptr<ServerConnection>& from, ServerRequest request) { startFlow(from, std::move(request)); },
            .onClosed = [this](const std::shared_ptr<ServerConnection>& closed) { connections_.erase(closed); },
            .onRefused =
                [this](int status, std::string_view reason) {
                    shared_.metrics.countRequest("", 0, "refused", std::string(reason));
                    shared_.log.noteFailure("request_malformed", { { "status", std::to_string(status) }, { "reason", std::string(reason) } });
                },
        });
    connections_.insert(connection);
    connection->start();
    if (isStopping_)
        connection->closeAfterAnswer();
}

void Proxy::startFlow(const std::shared_ptr<ServerConnection>& connection, ServerRequest request)
{
    const uint64_t id = nextFlow_++;
    const auto flow = std::make_shared<ProxyFlow>(shared_,
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
    const CallerLimits& limits = routes_->configuration().limits;
    const ServerLimits updated {
        .request = { .headBytes = limits.headBytes, .bodyBytes = limits.bodyBytes },
        .headTimeout = limits.headTimeout,
        .idleTimeout = limits.idleTimeout,
    };
    if (updated == *limits_)
        return;
    limits_ = std::make_shared<ServerLimits>(updated);
    for (const auto& connection : connections_)
        connection->setLimits(limits_);
}

void Proxy::startStop()
{
    isStopping_ = true;
    for (const auto& connection : connections_)
        connection->closeAfterAnswer();
}

void Proxy::closeDoor()
{
    error_code ignored; // the descriptor is released either way
    acceptor_.close(ignored);
    const auto connections = connections_;
    for (const auto& connection : connections)
        connection->closeWhenIdle();
}

void Proxy::tick()
{
    const auto flows = flows_;
    for (const auto& [id, flow] : flows)
        flow->checkTimeouts();
    shared_.dispatcher.tick();
}

void Proxy::sweep()
{
    const auto connections = connections_;
    for (const auto& connection : connections)
        connection->checkTimeouts();
    shared_.pool.sweep();
}

} // namespace hemlockweir
