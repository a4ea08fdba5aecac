#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

// Writes to a non-blocking socket: at once what the socket takes, the rest when it takes more.

namespace hemlockweir {

class SocketWriter {
public:
    using Socket = boost::asio::ip::tcp::socket;

    explicit SocketWriter(Socket& socket)
        : socket_(socket)
    {
    }

    // Sends the bytes after all earlier ones. `keepAlive` holds the writer's owner alive while it waits.
    void write(std::string_view bytes, const std::shared_ptr<void>& keepAlive);

    // Bytes that the socket has not taken yet.
    size_t unsentBytes() const { return unsent_.size(); }

    // Called once each time the last byte is taken after a wait.
    std::function<void()> onDrained;

private:
    void waitUntilWritable(const std::shared_ptr<void>& keepAlive);
    void writeRest(const std::shared_ptr<void>& keepAlive);

    Socket& socket_;
    std::string unsent_;
    bool isWaiting_ = false;
};

} // namespace hemlockweir
