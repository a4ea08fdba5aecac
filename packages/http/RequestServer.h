#pragma once

#include "http/ServerConnection.h"

#include <absl/status/status.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <limits>
#include <unordered_set>

// An HTTP server on one address that runs on the thread of its event loop. It accepts and owns connections and
// passes their requests to a handler. Limits may change while it runs.

namespace hemlockweir {

class RequestServer {
public:
    struct Options {
        std::string address; // IP address to listen on
        uint16_t port = 0; // 0: any free port
        Clock clock;
        std::shared_ptr<const ServerLimits> limits = std::make_shared<ServerLimits>();
        // Called with each request. The handler answers through the connection.
        std::function<void(const std::shared_ptr<ServerConnection>&, ServerRequest)> onRequest;
        std::function<void(int status, std::string_view reason)> onRefused; // called for a request that violates the protocol or a limit; may be empty
        std::function<void(const std::string& error)> onAcceptFailed; // may be empty
        std::shared_ptr<MemoryBudget> memory; // counts the bytes that connections hold; may be null
        size_t maxConnections = std::numeric_limits<size_t>::max(); // over it, the connections that have waited longest are closed
    };

    RequestServer(boost::asio::io_context& context, Options options);

    // Starts to listen. Returns Unavailable when the address can't be bound.
    absl::Status start();

    // Returns the port in use. Valid after start().
    uint16_t port() const { return acceptor_.local_endpoint().port(); }

    const ServerLimits& limits() const { return *options_.limits; }
    void setLimits(const ServerLimits& limits);

    // Makes each further answer say `Connection: close`. Connections are still accepted.
    void closeAfterAnswers();

    // Stops listening. Requests that have arrived are still read, on connections that were not accepted yet too. Idle
    // connections are closed now, busy ones once their answer has been sent.
    void closeGracefully();

    // Stops listening and closes all connections immediately, even if their request is unanswered.
    void abort();

    // Enforces the timeouts of all connections. Call every few 100 ms.
    void sweep();

    size_t connectionCount() const { return connections_.size(); }

    // Returns the number of connections that were closed because there were too many.
    uint64_t evictedConnections() const { return evictedConnections_; }

    // Returns the number of connections of which refused input was not read to its end.
    uint64_t cutInputs() const { return cutInputs_; }

    // Returns the bytes of answers that wait for callers to read.
    size_t unsentBytes() const;

    // Returns whether a request is being read or answered on any connection.
    bool isBusy() const;

private:
    void accept();
    void acceptQueued();
    void acceptLater();
    void evictConnections();
    void addConnection(SocketWriter::Socket socket);
    void stopListening();

    Options options_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::unordered_set<std::shared_ptr<ServerConnection>> connections_;
    boost::asio::steady_timer acceptTimer_;
    uint64_t evictedConnections_ = 0;
    uint64_t cutInputs_ = 0;
    bool isStopping_ = false;
};

} // namespace hemlockweir
