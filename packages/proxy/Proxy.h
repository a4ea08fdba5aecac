#pragma once

#include "proxy/ProxyFlow.h"

#include <boost/asio/io_context.hpp>
#include <unordered_set>

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

    Proxy(boost::asio::io_context& context, Options options, ProxyContext& shared);
    ~Proxy();

    // Begins to listen.
    absl::Status start();

    // The port it listens on; of use when the options left the choice to the system.
    uint16_t port() const { return acceptor_.local_endpoint().port(); }

    // Puts a configuration in force for the next request.
    void setRoutes(std::shared_ptr<const RouteTable> routes);
    const std::shared_ptr<const RouteTable>& routes() const { return routes_; }

    // Begins the planned stop: every answer tells its caller to close. Connections are still accepted.
    void startStop();

    // Whether no request is at work.
    bool isIdle() const { return flows_.empty(); }

    // Closes what idles and stops to listen.
    void closeDoor();

    // Call every few ms and every few 100 ms.
    void tick();
    void sweep();

    // Whether a request has come since the start.
    bool hasServed() const { return nextFlow_ > 1; }

    size_t flowCount() const { return flows_.size(); }
    size_t connectionCount() const { return connections_.size(); }

private:
    void accept();
    void addConnection(SocketWriter::Socket socket);
    void startFlow(const std::shared_ptr<ServerConnection>& connection, ServerRequest request);

    Options options_;
    ProxyContext& shared_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::shared_ptr<const RouteTable> routes_;
    std::shared_ptr<const ServerLimits> limits_;
    std::unordered_set<std::shared_ptr<ServerConnection>> connections_;
    std::map<uint64_t, std::shared_ptr<ProxyFlow>> flows_; // by id
    uint64_t nextFlow_ = 1;
    bool isStopping_ = false;
};

} // namespace hemlockweir
