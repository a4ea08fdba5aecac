#pragma once

#include "http/ServerConnection.h"

#include <absl/status/status.h>
#include <boost/asio/ip/tcp.hpp>
#include <unordered_set>

// An HTTP server on one address, on the thread of its event loop: accepts connections, keeps them, and hands
// on their requests. Limits may change while it runs.

namespace hemlockweir {

class RequestServer {
public:
    struct Options {
        std::string address; // IP number to listen on
        uint16_t port = 0; // 0: the system chooses
        Clock clock;
        std::shared_ptr<const ServerLimits> limits = std::make_shared<ServerLimits>();
        // Called with each request; it is answered through the connection.
        std::function<void(const std::shared_ptr<ServerConnection>&, ServerRequest)> onRequest;
        std::function<void(int status, std::string_view reason)> onRefused; // a request broke the protocol or a limit; may be empty
        std::function<void(const std::string& error)> onAcceptFailed; // may be empty
    };

    RequestServer(boost::asio::io_context& context, Options options);

    // Begins to listen. Unavailable: the address can't be had.
    absl::Status start();

    // The port it listens on.
    uint16_t port() const { return acceptor_.local_endpoint().port(); }

    const ServerLimits& limits() const { return *options_.limits; }
    void setLimits(const ServerLimits& limits);

    // From now on each answer tells its caller to close; connections are still accepted.
    void closeAfterAnswers();

    // Stops to listen, and closes each connection once its answer is sent.
    void closeGracefully();

    // Stops to listen, and closes all connections at once, answered or not.
    void abort();

    // Ends what takes too long. Call every few 100 ms.
    void sweep();

    size_t connectionCount() const { return connections_.size(); }

private:
    void accept();
    void addConnection(SocketWriter::Socket socket);
    void stopListening();

    Options options_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::unordered_set<std::shared_ptr<ServerConnection>> connections_;
    bool isStopping_ = false;
};

} // namespace hemlockweir
