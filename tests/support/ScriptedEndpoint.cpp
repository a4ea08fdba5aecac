#include "support/ScriptedEndpoint.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace hemlockweir {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

struct ScriptedEndpoint::Connection {
    explicit Connection(tcp::socket accepted)
        : socket(std::move(accepted))
    {
    }

    tcp::socket socket;
    std::array<char, 4096> buffer {};
    std::string unread;
    bool isOnHold = false;
};

// Returns the length of the first complete HTTP message in the text; 0 if there is none.
static size_t completeMessageLength(const std::string& text)
{
    const size_t end = text.find("\r\n\r\n");
    if (end == std::string::npos)
        return 0;
    const size_t length = text.find("Content-Length: ");
    const size_t body = length < end ? std::stoul(text.substr(length + 16)) : 0;
    return text.size() >= end + 4 + body ? end + 4 + body : 0;
}

ScriptedEndpoint::ScriptedEndpoint(asio::io_context& context)
    : acceptor_(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
{
    accept();
}

void ScriptedEndpoint::accept()
{
    acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
        if (error)
            return;
        read(std::make_shared<Connection>(std::move(socket)));
        accept();
    });
}

void ScriptedEndpoint::read(const std::shared_ptr<Connection>& connection)
{
    connection->socket.async_read_some(asio::buffer(connection->buffer), [this, connection](const error_code& error, size_t size) {
        if (error) {
            peerCloses_ += connection->isOnHold ? 1 : 0;
            return;
        }
        connection->unread.append(connection->buffer.data(), size);
        if (const size_t length = completeMessageLength(connection->unread); length > 0) {
            const std::string request = connection->unread.substr(0, length);
            connection->unread.erase(0, length);
            answer(connection, request);
        }
        if (connection->socket.is_open())
            read(connection);
    });
}

void ScriptedEndpoint::flood(const std::shared_ptr<Connection>& connection, const std::string& bytes)
{
    const auto sent = std::make_shared<std::string>(bytes);
    asio::async_write(connection->socket, asio::buffer(*sent), [this, connection, sent](const error_code& error, size_t size) {
        floodedBytes_ += size;
        if (error)
            ++peerCloses_;
        else
            flood(connection, *sent);
    });
}

void ScriptedEndpoint::drip(const std::shared_ptr<Connection>& connection, const std::string& bytes, size_t at)
{
    const auto timer = std::make_shared<asio::steady_timer>(acceptor_.get_executor(), std::chrono::milliseconds(20));
    timer->async_wait([this, connection, bytes, at, timer](const error_code&) {
        error_code error;
        asio::write(connection->socket, asio::buffer(&bytes[at % bytes.size()], 1), error);
        floodedBytes_ += error ? 0 : 1;
        if (error)
            ++peerCloses_;
        else
            drip(connection, bytes, at + 1);
    });
}

void ScriptedEndpoint::answer(const std::shared_ptr<Connection>& connection, const std::string& request)
{
    requests_.push_back(request);
    const ScriptedResponse answer = script_(static_cast<int>(requests_.size()));
    error_code error;
    asio::write(connection->socket, asio::buffer(answer.bytes), error);
    if (answer.ending == Ending::Hold)
        connection->isOnHold = true;
    if (answer.ending == Ending::Flood)
        flood(connection, answer.flood);
    if (answer.ending == Ending::Drip)
        drip(connection, answer.flood, 0);
    if (answer.ending == Ending::Reset) {
        // A reset discards bytes that the peer has not read yet, so the peer gets time to read them.
        const auto timer = std::make_shared<asio::steady_timer>(acceptor_.get_executor(), std::chrono::milliseconds(50));
        timer->async_wait([connection, timer](const error_code&) {
            error_code ignored;
            connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
            connection->socket.close(ignored);
        });
    }
    if (answer.ending == Ending::Close)
        connection->socket.shutdown(tcp::socket::shutdown_send, error);
}

void runUntil(asio::io_context& context, const std::function<bool()>& condition)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    context.restart();
    while (!condition()) {
        ASSERT_LT(std::chrono::steady_clock::now(), end) << "timed out waiting for the condition";
        context.run_one_for(std::chrono::milliseconds(100));
    }
}

ScriptedCaller::ScriptedCaller(asio::io_context& context, uint16_t port)
    : context_(context)
    , socket_(context)
{
    socket_.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), port));
    read();
}

// Cancels the pending read, whose handler refers to this object.
ScriptedCaller::~ScriptedCaller()
{
    error_code ignored;
    socket_.close(ignored);
    context_.restart();
    context_.poll();
}

void ScriptedCaller::send(const std::string& bytes)
{
    asio::write(socket_, asio::buffer(bytes));
}

void ScriptedCaller::read()
{
    socket_.async_read_some(asio::buffer(buffer_), [this](const error_code& error, size_t size) {
        if (error == asio::error::operation_aborted)
            return;
        received_.append(buffer_.data(), size);
        isClosed_ = static_cast<bool>(error);
        if (!isClosed_)
            read();
    });
}

void ScriptedCaller::readUntil(const std::string& text)
{
    runUntil(context_, [&] { return received_.find(text) != std::string::npos; });
}

bool ScriptedCaller::isComplete() const
{
    const bool isChunked = received_.find("Transfer-Encoding: chunked") != std::string::npos;
    return isChunked ? received_.ends_with("0\r\n\r\n") : completeMessageLength(received_) > 0;
}

std::string ScriptedCaller::exchange(const std::string& bytes)
{
    send(bytes);
    runUntil(context_, [this] { return isClosed_ || isComplete(); });
    return received_;
}

} // namespace hemlockweir
