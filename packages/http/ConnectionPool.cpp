#include "http/ConnectionPool.h"

#include <algorithm>

namespace hemlockweir {

ConnectionPool::ConnectionPool(boost::asio::io_context& context, Options options)
    : context_(context)
    , options_(std::move(options))
{
}

bool ConnectionPool::isUsable(const ClientConnection& connection) const
{
    return connection.isReusable() && options_.clock() - connection.idleSince() < connection.keepAliveTimeout();
}

std::shared_ptr<ClientConnection> ConnectionPool::acquire(const std::string& address, uint16_t port, bool mayReuse)
{
    const auto idle = idle_.find({ address, port });
    while (mayReuse && idle != idle_.end() && !idle->second.empty()) {
        const std::shared_ptr<ClientConnection> connection = std::move(idle->second.back());
        idle->second.pop_back();
        --idleCount_;
        if (isUsable(*connection))
            return connection;
        connection->close();
    }
    return std::make_shared<ClientConnection>(context_, ClientConnection::Options { .address = address, .port = port, .clock = options_.clock, .memory = options_.memory });
}

void ConnectionPool::release(const std::string& address, uint16_t port, const std::shared_ptr<ClientConnection>& connection)
{
    std::vector<std::shared_ptr<ClientConnection>>& idle = idle_[{ address, port }];
    if (connection->isReusable() && idle.size() < options_.maxIdlePerServer && idleCount_ < options_.maxIdle) {
        idle.push_back(connection);
        ++idleCount_;
    } else {
        connection->close();
    }
}

void ConnectionPool::sweep()
{
    for (auto it = idle_.begin(); it != idle_.end();) {
        std::erase_if(it->second, [this](const std::shared_ptr<ClientConnection>& connection) {
            if (isUsable(*connection))
                return false;
            connection->close();
            --idleCount_;
            return true;
        });
        it = it->second.empty() ? idle_.erase(it) : std::next(it);
    }
}

} // namespace hemlockweir
