#include "http/ValidatingSocket.h"

#include "base/Log.h"
#include "http/ReceiveBuffers.h"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace hemlockweir {

// Time for which a refused connection still reads and discards input. Closing it immediately would reset the
// connection, and the caller could lose the error response.
static constexpr Millis lingerTimeout { 2000 };
// Memory of a connection without any request, roughly: the socket, and the parser and buffers of Qt's server.
static constexpr size_t connectionBytes = size_t { 8 } * 1024;
// The same for what TLS adds: the state of OpenSSL and the buffers of the encrypted bytes.
static constexpr size_t tlsBytes = size_t { 16 } * 1024;
// Bytes that are read at once. Without a limit Qt reads all that the kernel holds, which may be the whole request.
static constexpr qint64 readBytes = qint64 { 64 } * 1024;
// Memory of an unfinished request relative to its size: Qt's server appends what it reads to the body, whose buffer grows by
// half and is copied then, and keeps the read bytes in the socket's transaction until the request is complete.
static constexpr size_t copiesOfUnfinished = 4;

// Makes the kernel abort a connection whose peer host is unresponsive for the timeout: TCP_USER_TIMEOUT covers
// unacknowledged data, keepalive probes cover idle connections. TCP_USER_TIMEOUT also aborts a connection whose
// peer acknowledges packets, but keeps its receive window closed for that long.
static void setPeerTimeout(qintptr descriptor, Millis timeout)
{
    const auto set = [socket = static_cast<int>(descriptor)](int option, int value) {
        if (::setsockopt(socket, IPPROTO_TCP, option, &value, sizeof value) != 0)
            logWarning("socket_option_failed", { { "option", std::to_string(option) } });
    };
    constexpr Millis::rep probes = 3; // within the timeout
    const int probeSeconds = static_cast<int>(std::max<Millis::rep>(1, timeout.count() / probes / 1000));
    set(TCP_USER_TIMEOUT, static_cast<int>(timeout.count()));
    set(TCP_KEEPIDLE, probeSeconds);
    set(TCP_KEEPINTVL, probeSeconds);
}

ConnectionCount::ConnectionCount(int total, int perAddress)
    : perAddressLimit_(perAddress)
    , slots_(std::make_shared<MemoryBudget>(static_cast<size_t>(total), makeSteadyClock()))
{
}

bool ConnectionCount::acquire(const QString& address)
{
    std::lock_guard lock(mutex_);
    if (byAddress_[address] >= perAddressLimit_)
        return false;
    ++byAddress_[address];
    return true;
}

void ConnectionCount::release(const QString& address)
{
    std::lock_guard lock(mutex_);
    if (--byAddress_[address] == 0)
        byAddress_.erase(address);
}

ValidatingSocket::ValidatingSocket(const HttpServerOptions& options, std::shared_ptr<ConnectionCount> connections, QObject* parent)
    : QSslSocket(parent)
    , options_(options)
    , connections_(std::move(connections))
    , held_(options_.memory, [this] {
        QMetaObject::invokeMethod(
            this, [this] { releaseMemory(); }, Qt::QueuedConnection);
    })
    , slot_(connections_->slots(), [this] {
        QMetaObject::invokeMethod(
            this, [this] { giveUpSlot(); }, Qt::QueuedConnection);
    })
    , scanner_(options.limits)
{
    timer_.setSingleShot(true);
    connect(&timer_, &QTimer::timeout, this, &ValidatingSocket::handleDeadline);
    // Connected before Qt's server connects its slot, and therefore called first.
    connect(this, &QTcpSocket::readyRead, this, &ValidatingSocket::scanReceived);
}

ValidatingSocket::~ValidatingSocket()
{
    if (counted_)
        connections_->release(peer_);
}

bool ValidatingSocket::adopt(qintptr descriptor)
{
    if (!setSocketDescriptor(descriptor))
        return false;
    setSocketOption(QAbstractSocket::LowDelayOption, 1);
    setSocketOption(QAbstractSocket::KeepAliveOption, 1);
    setPeerTimeout(descriptor, options_.peerTimeout);
    // Limits the bytes that a slow reader can leave in the kernel's send buffer.
    setSocketOption(QAbstractSocket::SendBufferSizeSocketOption, options_.replyBufferBytes);
    setSocketOption(QAbstractSocket::ReceiveBufferSizeSocketOption, receiveBufferBytes);
    peer_ = peerAddress().toString();
    // With TLS the limit would count the bytes of the transaction too, and stop a larger request.
    if (options_.tls)
        startTls();
    else
        setReadBufferSize(readBytes);
    counted_ = connections_->acquire(peer_);
    if (!takeSlot()) {
        if (connections_->isCrowded())
            abort();
        else
            refuse(503, "too many connections; try again later");
        return false;
    }
    restartTimer();
    return true;
}

// Takes one of the open connections. Returns false if the address has as many as it may, or a request is at work on each.
bool ValidatingSocket::takeSlot()
{
    refused_ = !counted_;
    noteSlot();
    isTurnedAway_ = slot_.isDropping();
    return counted_ && !isTurnedAway_;
}

// A connection that is being refused is closed first when there are too many.
void ValidatingSocket::noteSlot()
{
    const Millis since = refused_ ? Millis(0) : connections_->slots()->now();
    slot_.update(1, activeReplies_ > 0 ? MemoryBudget::Use::Needed : MemoryBudget::Use::Unfinished, since);
}

// Closes the connection, because there are too many and it has waited longest.
void ValidatingSocket::giveUpSlot()
{
    if (activeReplies_ == 0 && !isTurnedAway_)
        abort();
}

// Limits the encrypted bytes that are read at once. They pass through a socket that the TLS socket owns.
void ValidatingSocket::limitTransportReads()
{
    if (auto* transport = findChild<QTcpSocket*>(QString(), Qt::FindDirectChildrenOnly))
        transport->setReadBufferSize(readBytes);
}

void ValidatingSocket::startTls()
{
    connect(this, &QSslSocket::encrypted, this, &ValidatingSocket::restartTimer);
    setSslConfiguration(options_.tls());
    startServerEncryption();
    limitTransportReads();
}

void ValidatingSocket::trackUnreadBytes()
{
    connect(this, &QTcpSocket::readyRead, this, [this] {
        // Qt's server keeps what its parser has consumed until the request is complete, in a block of 16 KB for each read, however few
        // bytes it brought. It never reads them again.
        if (isTransactionStarted())
            commitTransaction();
        scannedUnread_ = bytesAvailable();
    });
    connect(this, &QTcpSocket::bytesWritten, this, &ValidatingSocket::noteHeldBytes);
}

void ValidatingSocket::startReply(qint64 requestBytes)
{
    ++activeReplies_;
    requestBytes_ += requestBytes;
    noteSlot();
    noteHeldBytes();
}

void ValidatingSocket::closeAfterReply()
{
    if (!std::exchange(closesAfterReply_, true) && activeReplies_ == 0)
        disconnectFromHost();
}

// An unfinished request is dropped before a reply that its reader leaves unread; a request at work is never dropped.
void ValidatingSocket::noteHeldBytes()
{
    if (!options_.memory)
        return;
    const bool isUnfinished = midRequest_ && !refused_;
    const bool isUnread = unsentBytes() > static_cast<qint64>(MemoryBudget::smallBytes);
    if (!isUnfinished && !isUnread)
        heldSince_ = Millis(0);
    else if (heldSince_ == Millis(0))
        heldSince_ = options_.memory->now();
    const MemoryBudget::Use use = isUnfinished && activeReplies_ == 0 ? MemoryBudget::Use::Unfinished
        : isUnread                                                    ? MemoryBudget::Use::Unread
                                                                      : MemoryBudget::Use::Needed;
    const size_t bytes = connectionBytes + (options_.tls ? tlsBytes : 0) + copiesOfUnfinished * scanner_.partialBytes() + static_cast<size_t>(requestBytes_ + bytesAvailable() + unsentBytes());
    held_.update(bytes, use, heldSince_);
}

// Closes the connection, because the budget is exceeded. An error response would be sent first only if the part of the
// request that Qt's server holds could be released before the connection.
void ValidatingSocket::releaseMemory()
{
    if ((midRequest_ && activeReplies_ == 0) || unsentBytes() > static_cast<qint64>(MemoryBudget::smallBytes))
        abort();
}

void ValidatingSocket::finishReply()
{
    --activeReplies_;
    if (activeReplies_ == 0)
        requestBytes_ = 0;
    noteSlot();
    noteHeldBytes();
    if (closesAfterReply_ && activeReplies_ == 0)
        disconnectFromHost();
    else if (!refused_)
        restartTimer();
}

void ValidatingSocket::restartTimer()
{
    timer_.start(midRequest_ || isHandshaking() ? options_.requestTimeout : options_.idleTimeout);
}

void ValidatingSocket::handleDeadline()
{
    if (refused_ || isHandshaking())
        abort();
    else if (midRequest_)
        refuse(408, "the request did not arrive whole in time");
    else if (activeReplies_ == 0)
        disconnectFromHost();
}

// Discards what arrives before a scheduled drop, so that the request doesn't grow meanwhile. Returns whether there is one.
bool ValidatingSocket::isBeingDropped()
{
    if (!options_.memory || !midRequest_ || activeReplies_ > 0 || !held_.isDropping())
        return false;
    refused_ = true;
    // Also removes the server's slot from the current emission of readyRead, as in refuse().
    disconnect(this, &QTcpSocket::readyRead, nullptr, nullptr);
    QMetaObject::invokeMethod(
        this, [this] { abort(); }, Qt::QueuedConnection);
    return true;
}

void ValidatingSocket::scanReceived()
{
    if (isBeingDropped())
        return;
    const QByteArray unread = peek(bytesAvailable());
    const std::string_view received = std::string_view(unread.constData(), static_cast<size_t>(unread.size())).substr(static_cast<size_t>(std::min(scannedUnread_, static_cast<qint64>(unread.size()))));
    scannedUnread_ = unread.size();
    if (received.empty())
        return;
    const ScanVerdict verdict = scanner_.scan(received);
    const bool wasMidRequest = midRequest_;
    midRequest_ = scanner_.isMidRequest();
    // The request timeout starts at the request's first byte; further bytes don't extend it.
    if (midRequest_ != wasMidRequest || scanner_.requestsSeen() != requestsSeen_)
        restartTimer();
    requestsSeen_ = scanner_.requestsSeen();
    noteHeldBytes();
    if (!isBeingDropped())
        handleVerdict(verdict);
}

void ValidatingSocket::handleVerdict(ScanVerdict verdict)
{
    switch (verdict) {
    case ScanVerdict::Ok:
        return;
    case ScanVerdict::Continue:
        if (activeReplies_ == 0)
            write("HTTP/1.1 100 Continue\r\n\r\n");
        return;
    case ScanVerdict::BadRequest:
        refuse(400, "malformed request line, header or length");
        return;
    case ScanVerdict::LengthRequired:
        refuse(411, "send Content-Length; transfer encodings are not accepted");
        return;
    case ScanVerdict::PayloadTooLarge:
        refuse(413, "the body is over the limit");
        return;
    case ScanVerdict::HeadTooLarge:
        refuse(431, "the headers are over the limit");
        return;
    case ScanVerdict::NotImplemented:
        refuse(501, "unknown method");
        return;
    case ScanVerdict::VersionNotSupported:
        refuse(505, "use HTTP/1.1");
        return;
    }
}

void ValidatingSocket::refuse(int status, const char* reason)
{
    refused_ = true;
    noteSlot();
    logInfo("request_refused", { { "peer", peer_.toStdString() }, { "status", std::to_string(status) }, { "reason", reason } });
    // Also removes the server's slot from the current emission of readyRead, so that it sees none of these bytes.
    disconnect(this, &QTcpSocket::readyRead, nullptr, nullptr);
    if (activeReplies_ > 0) {
        // A reply is being written: the caller would read an error response as part of it.
        QMetaObject::invokeMethod(
            this, [this] { abort(); }, Qt::QueuedConnection);
        return;
    }
    connect(this, &QTcpSocket::readyRead, this, &ValidatingSocket::discardReceived);
    // With TLS, bytesWritten is emitted before the encrypted bytes count as unsent.
    if (options_.tls)
        connect(this, &QSslSocket::encryptedBytesWritten, this, &ValidatingSocket::shutDownWriting);
    else
        connect(this, &QTcpSocket::bytesWritten, this, &ValidatingSocket::shutDownWriting);
    const QByteArray body = QByteArray("{\"error\":{\"message\":\"") + reason + "\",\"type\":\"refused\",\"outcome\":\"not_run\"}}";
    write("HTTP/1.1 " + QByteArray::number(status) + " Refused\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: "
        + QByteArray::number(body.size()) + "\r\n\r\n" + body);
    flush();
    shutDownWriting();
    discardReceived();
    timer_.start(lingerTimeout);
}

void ValidatingSocket::discardReceived()
{
    if (isTransactionStarted())
        commitTransaction();
    discardedBytes_ += skip(bytesAvailable());
    if (discardedBytes_ > options_.discardBytes)
        stopReading();
}

// Reads nothing more until the connection is closed. It stays open meanwhile, so that the caller can read the error response.
void ValidatingSocket::stopReading()
{
    disconnect(this, &QTcpSocket::readyRead, nullptr, nullptr);
    setReadBufferSize(1);
    setSocketOption(QAbstractSocket::ReceiveBufferSizeSocketOption, stoppedBufferBytes);
    connections_->noteCutInput();
}

void ValidatingSocket::shutDownWriting()
{
    if (unsentBytes() == 0 && !isHandshaking())
        ::shutdown(static_cast<int>(socketDescriptor()), SHUT_WR);
}

} // namespace hemlockweir
