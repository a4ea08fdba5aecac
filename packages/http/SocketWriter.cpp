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
    boost::system::error_code error;
    const size_t written = socket_.write_some(asio::buffer(bytes.data(), bytes.size()), error);
    // Any other error also fails the next read, which ends the connection.
    if (error && error != asio::error::would_block)
        return;
    if (written == bytes.size())
        return;
    unsent_ = bytes.substr(written);
    waitUntilWritable(keepAlive);
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
    boost::system::error_code error;
    const size_t written = socket_.write_some(asio::buffer(unsent_), error);
    if (error && error != asio::error::would_block) {
        unsent_.clear();
        return;
    }
    unsent_.erase(0, written);
    if (!unsent_.empty())
        waitUntilWritable(keepAlive);
    else if (onDrained)
        onDrained();
}

} // namespace hemlockweir
