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
    return connection.isReusable() && options_.clock() - connection.idleSince() < connection.keepFor();
}

std::shared_ptr<ClientConnection> ConnectionPool::take(const std::string& address, uint16_t port, bool mayReuse)
{
    const auto kept = idle_.find({ address, port });
    while (mayReuse && kept != idle_.end() && !kept->second.empty()) {
        const std::shared_ptr<ClientConnection> connection = std::move(kept->second.back());
        kept->second.pop_back();
        if (isUsable(*connection))
            return connection;
        connection->close();
    }
    return std::make_shared<ClientConnection>(context_, ClientConnection::Options { .address = address, .port = port, .clock = options_.clock });
}

void ConnectionPool::give(const std::string& address, uint16_t port, const std::shared_ptr<ClientConnection>& connection)
{
    std::vector<std::shared_ptr<ClientConnection>>& kept = idle_[{ address, port }];
    if (connection->isReusable() && kept.size() < options_.idlePerServer)
        kept.push_back(connection);
    else
        connection->close();
}

void ConnectionPool::sweep()
{
    for (auto it = idle_.begin(); it != idle_.end();) {
        std::erase_if(it->second, [this](const std::shared_ptr<ClientConnection>& connection) {
            if (isUsable(*connection))
                return false;
            connection->close();
            return true;
        });
        it = it->second.empty() ? idle_.erase(it) : std::next(it);
    }
}

} // namespace hemlockweir
