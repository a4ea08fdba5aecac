#include "wire/PeerExchange.h"

#include "base/AcceptRetry.h"
#include "wire/Frame.h"

#include <QPointer>
#include <QUrl>
#include <utility>

namespace hemlockweir {

PeerServer::PeerServer(Options options)
    : options_(std::move(options))
{
    connect(&server_, &QTcpServer::newConnection, this, &PeerServer::accept);
    resumeAfterErrors(server_);
}

void PeerServer::setHandler(MessageKind kind, Handler handler)
{
    handlers_[kind] = std::move(handler);
}

absl::Status PeerServer::start()
{
    if (server_.listen(options_.address, options_.port))
        return absl::OkStatus();
    return absl::UnavailableError("cannot listen on TCP " + options_.address.toString().toStdString() + ":" + std::to_string(options_.port) + ": "
        + server_.errorString().toStdString());
}

void PeerServer::accept()
{
    while (QTcpSocket* socket = server_.nextPendingConnection()) {
        if (openConnections_ >= options_.maxConnections)
            evictOldest();
        if (openConnections_ < options_.maxConnections) {
            add(socket);
            continue;
        }
        ++evictedConnections_;
        socket->abort();
        socket->deleteLater();
    }
}

void PeerServer::add(QTcpSocket* socket)
{
    ++openConnections_;
    waiting_.push_back(socket);
    socket->setReadBufferSize(options_.maxRequestBytes);
    connect(socket, &QTcpSocket::disconnected, this, [this, socket] {
        std::erase(waiting_, socket);
        --openConnections_;
        socket->deleteLater();
    });
    connect(socket, &QTcpSocket::readyRead, this, [this, socket, received = QByteArray()]() mutable { readRequest(socket, received); });
    QTimer::singleShot(options_.connectionTimeout, socket, [socket] { socket->abort(); });
}

// Closes the connection that has waited longest for its request: most likely it is no node's.
void PeerServer::evictOldest()
{
    if (waiting_.empty())
        return;
    ++evictedConnections_;
    waiting_.front()->abort();
}

void PeerServer::readRequest(QTcpSocket* socket, QByteArray& received)
{
    received += socket->read(options_.maxRequestBytes);
    const auto frame = extractFrame(received, options_.maxRequestBytes);
    if (frame.ok() && !*frame)
        return;
    const auto envelope = frame.ok() ? openEnvelope(**frame, options_.clusterKey) : frame.status();
    const auto handler = envelope.ok() ? handlers_.find(envelope->kind) : handlers_.end();
    if (handler == handlers_.end()) {
        socket->abort();
        return;
    }
    std::erase(waiting_, socket);
    handler->second(*envelope, [socket = QPointer<QTcpSocket>(socket)](const std::optional<QByteArray>& answer) {
        if (socket)
            send(socket, answer);
    });
}

void PeerServer::send(QTcpSocket* socket, const std::optional<QByteArray>& answer)
{
    if (!answer) {
        socket->abort();
        return;
    }
    socket->write(makeFrame(*answer));
    socket->disconnectFromHost();
}

PeerCall::PeerCall(Options options)
    : options_(std::move(options))
{
    timer_.setSingleShot(true);
    connect(&timer_, &QTimer::timeout, this, [this] { finish(absl::UnavailableError("timed out waiting for an answer")); });
    connect(&socket_, &QTcpSocket::readyRead, this, &PeerCall::readAnswer);
    connect(&socket_, &QTcpSocket::errorOccurred, this, [this] {
        readAnswer();
        finish(absl::UnavailableError(socket_.errorString().toStdString()));
    });
}

void PeerCall::start(const std::string& endpoint, const QByteArray& request, std::function<void(const absl::StatusOr<Envelope>&)> done)
{
    done_ = std::move(done);
    connect(&socket_, &QTcpSocket::connected, this, [this, request] { socket_.write(makeFrame(request)); });
    const QUrl url(QString::fromStdString("tcp://" + endpoint));
    timer_.start(options_.timeout);
    socket_.connectToHost(url.host(), static_cast<quint16>(url.port(0)));
}

void PeerCall::readAnswer()
{
    received_ += socket_.readAll();
    const auto frame = extractFrame(received_, options_.maxAnswerBytes);
    if (!frame.ok())
        finish(frame.status());
    else if (*frame)
        finish(openEnvelope(**frame, options_.clusterKey));
}

void PeerCall::finish(const absl::StatusOr<Envelope>& result)
{
    if (!done_)
        return;
    timer_.stop();
    // finish() can run inside a signal of the socket or inside start(), and `done` may destroy this
    // object, so `done` is called from the event loop.
    QMetaObject::invokeMethod(
        this, [done = std::exchange(done_, nullptr), result] { done(result); }, Qt::QueuedConnection);
}

void PeerClient::call(const std::string& endpoint, const QByteArray& request, std::function<void(const absl::StatusOr<Envelope>&)> done)
{
    if (calls_ >= options_.maxCalls) {
        done(absl::ResourceExhaustedError("too many requests to peers are in flight"));
        return;
    }
    ++calls_;
    auto* call = new PeerCall({ .clusterKey = options_.clusterKey, .timeout = options_.timeout });
    call->setParent(this);
    call->start(endpoint, request, [this, call, done](const absl::StatusOr<Envelope>& envelope) {
        --calls_;
        call->deleteLater();
        done(envelope);
    });
}

} // namespace hemlockweir
