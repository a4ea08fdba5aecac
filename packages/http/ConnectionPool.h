#pragma once

#include "http/ClientConnection.h"

#include <limits>
#include <map>

// A pool of idle keep-alive connections to HTTP servers.

namespace hemlockweir {

class ConnectionPool {
public:
    struct Options {
        Clock clock;
        size_t maxIdlePerServer = 16; // idle connections kept for reuse
        size_t maxIdle = std::numeric_limits<size_t>::max(); // idle connections to all servers
        std::shared_ptr<MemoryBudget> memory; // counts the bytes that connections hold; may be null
    };

    ConnectionPool(boost::asio::io_context& context, Options options);

    // Returns an idle connection if `mayReuse` is set and one is available, otherwise a new one.
    std::shared_ptr<ClientConnection> acquire(const std::string& address, uint16_t port, bool mayReuse);

    // Returns a connection to the pool after its exchange. It is closed when it can't be reused or the pool
    // is full.
    void release(const std::string& address, uint16_t port, const std::shared_ptr<ClientConnection>& connection);

    // Closes idle connections whose keep-alive timeout has passed. Call periodically.
    void sweep();

private:
    using Key = std::pair<std::string, uint16_t>;

    bool isUsable(const ClientConnection& connection) const;

    boost::asio::io_context& context_;
    Options options_;
    size_t idleCount_ = 0;
    std::map<Key, std::vector<std::shared_ptr<ClientConnection>>> idle_; // in order of last use, the most recent last
};

} // namespace hemlockweir
