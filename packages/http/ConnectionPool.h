#pragma once

#include "http/ClientConnection.h"

#include <map>

// Kept connections to HTTP servers.

namespace hemlockweir {

class ConnectionPool {
public:
    struct Options {
        Clock clock;
        size_t maxIdlePerServer = 16; // connections that are kept for the next request
    };

    ConnectionPool(boost::asio::io_context& context, Options options);

    // A kept connection if `mayReuse` and there is one, else a new one.
    std::shared_ptr<ClientConnection> acquire(const std::string& address, uint16_t port, bool mayReuse);

    // Gives a connection back after its exchange; one that can't be used again is closed.
    void release(const std::string& address, uint16_t port, const std::shared_ptr<ClientConnection>& connection);

    // Closes what has idled too long. Call at regular times.
    void sweep();

private:
    using Key = std::pair<std::string, uint16_t>;

    bool isUsable(const ClientConnection& connection) const;

    boost::asio::io_context& context_;
    Options options_;
    std::map<Key, std::vector<std::shared_ptr<ClientConnection>>> idle_; // the last used last
};

} // namespace hemlockweir
