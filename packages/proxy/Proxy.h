#pragma once

#include "http/RequestServer.h"
#include "proxy/ProxyFlow.h"

// The door to callers: accepts connections, turns requests into flows, hot-swaps the configuration,
// and closes in good order.

namespace hemlockweir {

class Proxy {
public:
    struct Options {
        std::string address; // IP number to listen on
        uint16_t port = 0;
        Clock clock;
    };

    Proxy(boost::asio::io_context& context, const Options& options, ProxyContext& shared);

    // Begins to listen.
    absl::Status start() { return server_.start(); }

    // The port it listens on; of use when the options left the choice to the system.
    uint16_t port() const { return server_.port(); }

    // Puts a configuration in force for the next request.
    void setRoutes(std::shared_ptr<const RouteTable> routes);
    const std::shared_ptr<const RouteTable>& routes() const { return routes_; }

    // Begins the planned stop: every answer tells its caller to close. Connections are still accepted.
    void startStop() { server_.closeAfterAnswers(); }

    // Whether no request is at work.
    bool isIdle() const { return flows_.empty(); }

    // Closes what idles and stops to listen.
    void closeDoor() { server_.closeGracefully(); }

    // Call every few ms and every few 100 ms.
    void tick();
    void sweep();

    // Whether a request has come since the start.
    bool hasServed() const { return nextFlow_ > 1; }

    size_t flowCount() const { return flows_.size(); }
    size_t connectionCount() const { return server_.connectionCount(); }

private:
    void startFlow(const std::shared_ptr<ServerConnection>& connection, ServerRequest request);

    ProxyContext& shared_;
    RequestServer server_;
    std::shared_ptr<const RouteTable> routes_;
    std::map<uint64_t, std::shared_ptr<ProxyFlow>> flows_; // by id
    uint64_t nextFlow_ = 1;
};

} // namespace hemlockweir
