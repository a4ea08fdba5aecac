#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

// Writes to a non-blocking socket without blocking. Bytes that don't fit into the socket's send buffer are
// queued in memory and written when the socket becomes writable.

namespace hemlockweir {

class SocketWriter {
public:
    using Socket = boost::asio::ip::tcp::socket;

    explicit SocketWriter(Socket& socket)
        : socket_(socket)
    {
    }

    // Writes the bytes after all earlier ones. `keepAlive` keeps the writer's owner alive while bytes are queued.
    // Write errors are not reported: the owner sees them at its next read.
    void write(std::string_view bytes, const std::shared_ptr<void>& keepAlive);

    // Returns the number of queued bytes.
    size_t unsentBytes() const { return unsent_.size(); }

    // Called each time the last queued byte has been written.
    std::function<void()> onDrained;

private:
    void waitUntilWritable(const std::shared_ptr<void>& keepAlive);
    void writeRest(const std::shared_ptr<void>& keepAlive);

    Socket& socket_;
    std::string unsent_;
    bool isWaiting_ = false;
};

} // namespace hemlockweir
