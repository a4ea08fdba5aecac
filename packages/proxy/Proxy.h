#pragma once

#include "http/RequestServer.h"
#include "proxy/ProxyFlow.h"

// The HTTP server for callers: accepts connections, creates a ProxyFlow for each request, replaces the configuration at
// run time and shuts down gracefully.

namespace hemlockweir {

class Proxy {
public:
    struct Options {
        std::string address; // IP address to listen on
        uint16_t port = 0; // 0: chosen by the system
        Clock clock;
        std::shared_ptr<MemoryBudget> memory; // bytes held for callers; may be null
        size_t maxConnections = std::numeric_limits<size_t>::max(); // open connections of callers
        size_t discardBytes = ServerLimits().discardBytes; // bytes of a refused request that are still read
    };

    Proxy(boost::asio::io_context& context, const Options& options, ProxyContext& shared);

    // Starts to listen.
    absl::Status start() { return server_.start(); }

    // Returns the port that the server listens on.
    uint16_t port() const { return server_.port(); }

    // Applies a configuration to all later requests; running requests keep theirs.
    void setRoutes(std::shared_ptr<const RouteTable> routes);
    const std::shared_ptr<const RouteTable>& routes() const { return routes_; }

    // Starts a graceful shutdown: every response asks its caller to close the connection. Connections are still accepted.
    void startShutdown(const ShutdownWindow& window);

    // Ends the requests that are left when the process exits.
    void endShutdown();

    // Returns whether no request is being read or in progress, and every answer has been sent.
    bool isIdle() const { return flows_.empty() && !server_.isBusy(); }

    // Stops listening and closes idle connections.
    void stopListening() { server_.closeGracefully(); }

    // Checks the timeouts of requests and places queued ones. Call every few ms.
    void tick();

    // Removes idle connections. Call every few 100 ms.
    void sweep();

    // Returns whether any request arrived since the start.
    bool hasReceivedRequest() const { return nextFlow_ > 1; }

    size_t flowCount() const { return flows_.size(); }
    size_t connectionCount() const { return server_.connectionCount(); }

    // Returns the number of connections that were closed because there were too many.
    uint64_t evictedConnections() const { return server_.evictedConnections(); }

    // Returns the number of connections of which refused input was not read to its end.
    uint64_t cutInputs() const { return server_.cutInputs(); }

    // Returns the bytes of answers that wait for callers to read.
    size_t unsentBytes() const { return server_.unsentBytes(); }

private:
    void startFlow(const std::shared_ptr<ServerConnection>& connection, ServerRequest request);

    ProxyContext& proxyContext_;
    RequestServer server_;
    std::shared_ptr<const RouteTable> routes_;
    std::map<uint64_t, std::shared_ptr<ProxyFlow>> flows_; // by id
    uint64_t nextFlow_ = 1;
};

} // namespace hemlockweir
