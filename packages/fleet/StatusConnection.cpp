#include "fleet/StatusConnection.h"

#include <QHostAddress>
#include <QNetworkProxy>

namespace hemlockweir {

static constexpr uint64_t maxStatusBytes = 64 * 1024;

StatusConnection::StatusConnection(Options options)
    : options_(std::move(options))
    , url_(QString::fromStdString("http://" + options_.address))
    , request_(QByteArray::fromStdString("GET /status HTTP/1.1\r\nHost: " + options_.address + "\r\nAccept: application/json\r\n\r\n"))
{
}

// The destructor of a socket emits disconnected(), which must not reach this partly destroyed
// object.
StatusConnection::~StatusConnection()
{
    close();
}

void StatusConnection::poll()
{
    const Millis now = options_.clock();
    const Millis limit = isReused_ ? options_.reuseTimeout : options_.responseTimeout;
    if (isPolling_ && now - polledAt_ < limit)
        return;
    const bool canReuse = isConnected_ && !isPolling_;
    isPolling_ = true;
    polledAt_ = now;
    if (canReuse)
        send();
    else
        open();
}

void StatusConnection::open()
{
    close();
    socket_ = std::make_unique<QTcpSocket>();
    socket_->setProxy(QNetworkProxy::NoProxy);
    connect(socket_.get(), &QTcpSocket::connected, this, [this] {
        isConnected_ = true;
        send();
    });
    connect(socket_.get(), &QTcpSocket::readyRead, this, &StatusConnection::readResponse);
    connect(socket_.get(), &QTcpSocket::disconnected, this, &StatusConnection::handleClosed);
    connect(socket_.get(), &QTcpSocket::errorOccurred, this, [this] {
        // A connection that was established ends with disconnected() instead.
        if (!isConnected_)
            fail();
    });
    socket_->connectToHost(QHostAddress(url_.host()), static_cast<quint16>(url_.port()));
}

// May be called from within a signal of the socket, hence deleteLater().
void StatusConnection::close()
{
    isConnected_ = false;
    isReused_ = false;
    unread_.clear();
    parser_.reset();
    if (!socket_)
        return;
    socket_->disconnect(this);
    socket_->abort();
    socket_.release()->deleteLater();
}

void StatusConnection::send()
{
    parser_.emplace();
    parser_->body_limit(maxStatusBytes);
    parser_->eager(true);
    socket_->write(request_);
}

void StatusConnection::readResponse()
{
    unread_ += socket_->readAll();
    if (!isPolling_ || !parser_)
        return;
    boost::system::error_code error;
    const size_t used = parser_->put(boost::asio::buffer(unread_.constData(), static_cast<size_t>(unread_.size())), error);
    unread_.remove(0, static_cast<qsizetype>(used));
    if (error && error != boost::beast::http::error::need_more)
        fail();
    else if (parser_->is_done())
        finish();
}

void StatusConnection::handleClosed()
{
    if (!isPolling_) {
        close();
        options_.onClosed();
        return;
    }
    // The end of the connection marks the end of a response without a length.
    boost::system::error_code error;
    if (parser_ && parser_->is_header_done() && !parser_->is_done())
        parser_->put_eof(error);
    if (parser_ && parser_->is_done() && !error)
        finish();
    else
        fail();
}

void StatusConnection::finish()
{
    isPolling_ = false;
    const bool isSuccess = parser_->get().result() == boost::beast::http::status::ok;
    const bool keepsAlive = parser_->get().keep_alive();
    const std::string body = std::move(parser_->get().body());
    parser_.reset();
    if (!keepsAlive || socket_->state() != QAbstractSocket::ConnectedState)
        close();
    else
        isReused_ = true;
    if (isSuccess)
        options_.onResponse(body, polledAt_);
}

void StatusConnection::fail()
{
    if (!isPolling_)
        return;
    if (isReused_) {
        polledAt_ = options_.clock();
        open();
        return;
    }
    isPolling_ = false;
    close();
    options_.onUnreachable();
}

} // namespace hemlockweir
