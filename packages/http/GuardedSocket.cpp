#include "http/GuardedSocket.h"

#include "base/Log.h"

namespace hemlockweir {

ConnectionCount::ConnectionCount(int total, int perAddress)
    : totalLimit_(total)
    , perAddressLimit_(perAddress)
{
}

bool ConnectionCount::acquire(const QString& address)
{
    std::lock_guard lock(mutex_);
    if (total_ >= totalLimit_ || byAddress_[address] >= perAddressLimit_)
        return false;
    ++total_;
    ++byAddress_[address];
    return true;
}

void ConnectionCount::release(const QString& address)
{
    std::lock_guard lock(mutex_);
    --total_;
    if (--byAddress_[address] == 0)
        byAddress_.erase(address);
}

GuardedSocket::GuardedSocket(const HttpServerOptions& options, std::shared_ptr<ConnectionCount> connections, QObject* parent)
    : QTcpSocket(parent)
    , options_(options)
    , connections_(std::move(connections))
    , scanner_(options.limits)
{
    timer_.setSingleShot(true);
    connect(&timer_, &QTimer::timeout, this, &GuardedSocket::checkDeadline);
}

GuardedSocket::~GuardedSocket()
{
    if (counted_)
        connections_->release(peer_);
}

bool GuardedSocket::adopt(qintptr descriptor)
{
    if (!setSocketDescriptor(descriptor))
        return false;
    setSocketOption(QAbstractSocket::LowDelayOption, 1);
    setSocketOption(QAbstractSocket::KeepAliveOption, 1);
    peer_ = peerAddress().toString();
    counted_ = connections_->acquire(peer_);
    if (!counted_) {
        refuse(503, "too many connections; try again later");
        return false;
    }
    restartTimer();
    return true;
}

void GuardedSocket::finishReply()
{
    --replies_;
    restartTimer();
}

void GuardedSocket::restartTimer()
{
    timer_.start(midRequest_ ? options_.requestTimeout : options_.idleTimeout);
}

void GuardedSocket::checkDeadline()
{
    if (replies_ > 0 && !midRequest_)
        return;
    if (midRequest_)
        refuse(408, "the request did not arrive whole in time");
    else
        abort();
}

qint64 GuardedSocket::readData(char* data, qint64 maxSize)
{
    if (refused_)
        return -1;
    const qint64 count = QTcpSocket::readData(data, maxSize);
    if (count <= 0)
        return count;
    const ScanVerdict verdict = scanner_.scan({ data, static_cast<size_t>(count) });
    const bool wasMidRequest = midRequest_;
    midRequest_ = scanner_.isMidRequest();
    // The deadline runs from a request's first byte: more bytes of it do not extend it.
    if (midRequest_ != wasMidRequest || scanner_.requestsSeen() != requestsSeen_)
        restartTimer();
    requestsSeen_ = scanner_.requestsSeen();
    switch (verdict) {
    case ScanVerdict::Ok:
        return count;
    case ScanVerdict::Continue:
        write("HTTP/1.1 100 Continue\r\n\r\n");
        return count;
    case ScanVerdict::BadRequest:
        refuse(400, "malformed request line, header or length");
        return -1;
    case ScanVerdict::LengthRequired:
        refuse(411, "send Content-Length; transfer encodings are not accepted");
        return -1;
    case ScanVerdict::PayloadTooLarge:
        refuse(413, "the body is over the limit");
        return -1;
    case ScanVerdict::HeadTooLarge:
        refuse(431, "the headers are over the limit");
        return -1;
    case ScanVerdict::VersionNotSupported:
        refuse(505, "use HTTP/1.1");
        return -1;
    }
    return -1;
}

void GuardedSocket::refuse(int status, const char* reason)
{
    refused_ = true;
    timer_.stop();
    logInfo("request_refused", { { "peer", peer_.toStdString() }, { "status", std::to_string(status) }, { "reason", reason } });
    const QByteArray body = QByteArray("{\"error\":{\"message\":\"") + reason + "\",\"outcome\":\"not_run\"}}";
    write("HTTP/1.1 " + QByteArray::number(status) + " Refused\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: "
        + QByteArray::number(body.size()) + "\r\n\r\n" + body);
    flush();
    // The parser is still reading from this socket further up the stack.
    QMetaObject::invokeMethod(
        this, [this] { disconnectFromHost(); }, Qt::QueuedConnection);
}

} // namespace hemlockweir
