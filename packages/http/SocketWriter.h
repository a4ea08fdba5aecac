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
    // After an error nothing more is written; the owner's next read ends the connection.
    void write(std::string_view bytes, const std::shared_ptr<void>& keepAlive);

    // Returns the number of queued bytes.
    size_t unsentBytes() const { return unsent_.size(); }

    // Returns the bytes of memory that the queue takes.
    size_t heldBytes() const { return unsent_.capacity(); }

    // Returns whether a write failed, so that bytes were dropped.
    bool hasFailed() const { return static_cast<bool>(error_); }

    // Returns whether a write failed because the connection was lost, not because the peer had closed it. The failed write
    // takes the error from the socket: the next read reports an orderly close although there was none.
    bool hasLostConnection() const;

    // Called each time the last queued byte has been written.
    std::function<void()> onDrained;

    // Called each time queued bytes have been written or dropped, before onDrained. May be empty.
    std::function<void()> onProgress;

private:
    void waitUntilWritable(const std::shared_ptr<void>& keepAlive);
    void writeRest(const std::shared_ptr<void>& keepAlive);
    size_t writeSome(std::string_view bytes);

    Socket& socket_;
    boost::system::error_code error_; // of the first failed write
    std::string unsent_;
    bool isWaiting_ = false;
};

} // namespace hemlockweir
