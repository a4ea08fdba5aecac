#include "http/RequestServer.h"

#include "http/ReceiveBuffers.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <numeric>

namespace hemlockweir {

namespace asio = boost::asio;
using boost::system::error_code;

// Limit of connections that the kernel queues until they are accepted.
static constexpr int listenBacklog = 1024;
// Pause after a connection could not be accepted, for want of descriptors above all. It can't be accepted at once, and
// trying would keep the thread busy.
static constexpr std::chrono::milliseconds acceptPause { 100 };
// Part of the connections that is closed at once when there are too many, so that the search for them is rare.
static constexpr size_t evictedShare = 32;

RequestServer::RequestServer(asio::io_context& context, Options options)
    : options_(std::move(options))
    , acceptor_(context)
    , acceptTimer_(context)
{
}

absl::Status RequestServer::start()
{
    error_code error;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(options_.address, error), options_.port);
    if (!error)
        acceptor_.open(endpoint.protocol(), error);
    if (!error)
        acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    // Connections inherit the buffer from the listener.
    if (!error)
        acceptor_.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes), error);
    if (!error)
        acceptor_.bind(endpoint, error);
    if (!error)
        acceptor_.listen(listenBacklog, error);
    if (error)
        return absl::UnavailableError(absl::StrCat("can't listen on ", options_.address, ":", options_.port, ": ", error.message()));
    accept();
    return absl::OkStatus();
}

void RequestServer::accept()
{
    acceptor_.async_accept([this](const error_code& error, SocketWriter::Socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (error) {
            if (options_.onAcceptFailed)
                options_.onAcceptFailed(error.message());
            acceptLater();
            return;
        }
        addConnection(std::move(socket));
        accept();
    });
}

void RequestServer::acceptLater()
{
    acceptTimer_.expires_after(acceptPause);
    acceptTimer_.async_wait([this](const error_code& error) {
        if (!error && acceptor_.is_open())
            accept();
    });
}

// Closes the connections that have waited longest without a request at work. Their requests have not run, if there are any.
void RequestServer::evictConnections()
{
    std::vector<std::pair<ServerConnection::EvictionRank, std::shared_ptr<ServerConnection>>> ranked;
    for (const auto& connection : connections_) {
        if (const auto rank = connection->evictionRank())
            ranked.emplace_back(*rank, connection);
    }
    const size_t count = std::min(ranked.size(), 1 + connections_.size() / evictedShare);
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<ptrdiff_t>(count), ranked.end(), [](const auto& one, const auto& other) { return one.first < other.first; });
    for (size_t i = 0; i < count; ++i)
        ranked[i].second->abort();
    evictedConnections_ += count;
}

void RequestServer::addConnection(SocketWriter::Socket socket)
{
    if (connections_.size() >= options_.maxConnections)
        evictConnections();
    if (connections_.size() >= options_.maxConnections) {
        ++evictedConnections_;
        return; // closes the socket: a request is being answered on each connection
    }
    const auto connection = std::make_shared<ServerConnection>(std::move(socket),
        ServerConnection::Options {
            .limits = options_.limits,
            .clock = options_.clock,
            .onRequest = options_.onRequest,
            .onClosed = [this](const std::shared_ptr<ServerConnection>& closed) { connections_.erase(closed); },
            .onRefused = options_.onRefused,
            .onInputCut = [this] { ++cutInputs_; },
            .memory = options_.memory,
        });
    connections_.insert(connection);
    connection->start();
    if (isStopping_)
        connection->closeAfterAnswer();
}

void RequestServer::setLimits(const ServerLimits& limits)
{
    if (limits == *options_.limits)
        return;
    options_.limits = std::make_shared<ServerLimits>(limits);
    for (const auto& connection : connections_)
        connection->setLimits(options_.limits);
}

void RequestServer::closeAfterAnswers()
{
    isStopping_ = true;
    for (const auto& connection : connections_)
        connection->closeAfterAnswer();
}

void RequestServer::stopListening()
{
    error_code ignored; // the descriptor is released either way
    acceptor_.close(ignored);
    acceptTimer_.cancel();
}

// Accepts the connections that the kernel has queued: closing the acceptor would reset them, with the requests that their
// callers have sent.
void RequestServer::acceptQueued()
{
    error_code error;
    acceptor_.cancel(error);
    acceptor_.non_blocking(true, error);
    while (!error) {
        SocketWriter::Socket socket(acceptor_.get_executor());
        acceptor_.accept(socket, error);
        if (!error)
            addConnection(std::move(socket));
    }
}

bool RequestServer::isBusy() const
{
    return std::any_of(connections_.begin(), connections_.end(), [](const auto& connection) { return connection->isBusy(); });
}

size_t RequestServer::unsentBytes() const
{
    return std::accumulate(connections_.begin(), connections_.end(), size_t { 0 }, [](size_t sum, const auto& connection) { return sum + connection->unsentBytes(); });
}

void RequestServer::closeGracefully()
{
    acceptQueued();
    stopListening();
    const auto connections = connections_;
    for (const auto& connection : connections)
        connection->closeWhenIdle();
}

void RequestServer::abort()
{
    stopListening();
    const auto connections = connections_;
    for (const auto& connection : connections)
        connection->abort();
}

void RequestServer::sweep()
{
    const auto connections = connections_;
    for (const auto& connection : connections)
        connection->checkTimeouts();
}

} // namespace hemlockweir
