#include "http/SocketWriter.h"

#include <boost/asio/buffer.hpp>

namespace hemlockweir {

namespace asio = boost::asio;

void SocketWriter::write(std::string_view bytes, const std::shared_ptr<void>& keepAlive)
{
    if (!unsent_.empty()) {
        unsent_ += bytes;
        return;
    }
    const size_t written = writeSome(bytes);
    if (hasFailed() || written == bytes.size())
        return;
    unsent_ = bytes.substr(written);
    waitUntilWritable(keepAlive);
}

// Returns the number of bytes written. The first error is kept.
size_t SocketWriter::writeSome(std::string_view bytes)
{
    if (hasFailed())
        return 0;
    boost::system::error_code error;
    const size_t written = socket_.write_some(asio::buffer(bytes.data(), bytes.size()), error);
    if (error != asio::error::would_block)
        error_ = error;
    return written;
}

// A peer that closes the connection in order and resets it afterwards makes writes fail with a broken pipe: the bytes
// that it sent before its close can still be read.
bool SocketWriter::hasLostConnection() const
{
    return hasFailed() && error_ != asio::error::broken_pipe;
}

void SocketWriter::waitUntilWritable(const std::shared_ptr<void>& keepAlive)
{
    if (isWaiting_)
        return;
    isWaiting_ = true;
    socket_.async_wait(SocketWriter::Socket::wait_write, [this, keepAlive](const boost::system::error_code& error) {
        isWaiting_ = false;
        if (!error)
            writeRest(keepAlive);
    });
}

void SocketWriter::writeRest(const std::shared_ptr<void>& keepAlive)
{
    const size_t written = writeSome(unsent_);
    // Clearing would keep the memory of the longest queue for as long as the connection lives.
    if (hasFailed() || written == unsent_.size())
        unsent_ = std::string();
    else
        unsent_.erase(0, written);
    if (onProgress)
        onProgress();
    if (hasFailed())
        return;
    if (!unsent_.empty())
        waitUntilWritable(keepAlive);
    else if (onDrained)
        onDrained();
}

} // namespace hemlockweir
