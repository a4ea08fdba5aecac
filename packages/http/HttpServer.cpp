#include "http/HttpServer.h"

#include "base/AcceptRetry.h"
#include "base/Log.h"
#include "http/ValidatingSocket.h"

#include <QAbstractHttpServer>
#include <QHttpServerResponder>
#include <QJsonDocument>
#include <QTcpServer>
#include <QThread>
#include <QUrlQuery>

namespace hemlockweir {

static QByteArray methodName(QHttpServerRequest::Method method)
{
    switch (method) {
    case QHttpServerRequest::Method::Get:
        return "GET";
    case QHttpServerRequest::Method::Put:
        return "PUT";
    case QHttpServerRequest::Method::Delete:
        return "DELETE";
    case QHttpServerRequest::Method::Post:
        return "POST";
    case QHttpServerRequest::Method::Head:
        return "HEAD";
    case QHttpServerRequest::Method::Options:
        return "OPTIONS";
    case QHttpServerRequest::Method::Patch:
        return "PATCH";
    default:
        return "UNKNOWN";
    }
}

Exchange::Exchange(const QHttpServerRequest& request, QTcpSocket* socket, QHttpServerResponder&& responder, qint64 replyBufferBytes)
    : method_(methodName(request.method()))
    , path_(request.url().path())
    , rawQuery_(request.url().query().toUtf8())
    , body_(request.body())
    , socket_(socket)
    , responder_(std::make_unique<QHttpServerResponder>(std::move(responder)))
    , replyBufferBytes_(replyBufferBytes)
{
    for (const auto& [name, value] : request.headers())
        headers_.push_back({ name.toLower(), value });
    connect(socket, &QTcpSocket::disconnected, this, &Exchange::handleDisconnected);
    if (auto* serverSocket = qobject_cast<ValidatingSocket*>(socket))
        serverSocket->startReply(body_.size());
}

Exchange::~Exchange()
{
    if (auto* serverSocket = qobject_cast<ValidatingSocket*>(socket_.data()))
        serverSocket->finishReply();
    if (!isOver())
        abort();
}

QString Exchange::query(const QString& name) const
{
    return QUrlQuery(QString::fromUtf8(rawQuery_)).queryItemValue(name, QUrl::FullyDecoded);
}

QByteArray Exchange::header(const QByteArray& name) const
{
    const QByteArray lower = name.toLower();
    for (const HttpHeader& header : headers_) {
        if (header.name == lower)
            return header.value;
    }
    return {};
}

void Exchange::handleDisconnected()
{
    const bool wasOver = over_;
    over_ = true;
    socket_ = nullptr;
    if (!wasOver && onDisconnected)
        onDisconnected();
}

void Exchange::writeHead(int status, const QByteArray& contentType, const std::vector<HttpHeader>& headers)
{
    responder_->writeStatusLine(static_cast<QHttpServerResponder::StatusCode>(status));
    responder_->writeHeader("Content-Type", contentType);
    if (closesConnection && closesConnection())
        responder_->writeHeader("Connection", "close");
    for (const HttpHeader& header : headers)
        responder_->writeHeader(header.name, header.value);
}

void Exchange::sendJson(int status, const QJsonObject& object, const std::vector<HttpHeader>& headers)
{
    sendBytes(status, "application/json", QJsonDocument(object).toJson(QJsonDocument::Compact), headers);
}

void Exchange::sendBytes(int status, const QByteArray& contentType, const QByteArray& bytes, const std::vector<HttpHeader>& headers)
{
    if (isOver() || streaming_)
        return;
    writeHead(status, contentType, headers);
    responder_->writeHeader("Content-Length", QByteArray::number(bytes.size()));
    responder_->writeBody(method_ == "HEAD" ? QByteArray() : bytes);
    over_ = true;
    responder_.reset();
}

void Exchange::startStream(const QByteArray& contentType, const std::vector<HttpHeader>& headers)
{
    if (isOver() || streaming_)
        return;
    streaming_ = true;
    writeHead(200, contentType, headers);
    responder_->writeHeader("Cache-Control", "no-cache");
    responder_->writeHeader("Transfer-Encoding", "chunked");
    responder_->writeBody(QByteArray());
}

void Exchange::sendChunk(const QByteArray& bytes)
{
    if (isOver() || !streaming_ || bytes.isEmpty())
        return;
    responder_->writeBody(QByteArray::number(bytes.size(), 16) + "\r\n" + bytes + "\r\n");
    auto* serverSocket = qobject_cast<ValidatingSocket*>(socket_.data());
    if (serverSocket && serverSocket->unsentBytes() > 0)
        serverSocket->noteHeldBytes();
    if (serverSocket && serverSocket->unsentBytes() > replyBufferBytes_) {
        logInfo("slow_reader_cut", { { "peer", serverSocket->peerAddress().toString().toStdString() }, { "unread_bytes", std::to_string(serverSocket->unsentBytes()) } });
        abort();
    }
}

void Exchange::sendEvent(const QByteArray& data)
{
    sendChunk("data: " + data + "\n\n");
}

void Exchange::finishStream()
{
    if (isOver() || !streaming_)
        return;
    responder_->writeBody(QByteArray("0\r\n\r\n"));
    over_ = true;
    responder_.reset();
}

void Exchange::abort()
{
    if (socket_)
        socket_->abort();
}

namespace {

    // The Qt server of one worker. It passes every request to the handler, without Qt's routing.
    class WorkerServer : public QAbstractHttpServer {
    public:
        WorkerServer(const HttpServerOptions& options, RequestHandler handler, std::shared_ptr<std::atomic<int>> inFlight)
            : options_(options)
            , handler_(std::move(handler))
            , inFlight_(std::move(inFlight))
        {
        }

    protected:
        bool handleRequest(const QHttpServerRequest& request, QTcpSocket* socket) override
        {
            // A pipelined request that arrives while a reply is being written, or while the caller leaves earlier ones unread, is
            // discarded unexecuted. The connection closes after that reply, and the caller can send the request again.
            auto* serverSocket = qobject_cast<ValidatingSocket*>(socket);
            if (serverSocket && !serverSocket->mayStartReply()) {
                serverSocket->closeAfterReply();
                return true;
            }
            ++*inFlight_;
            auto* raw = new Exchange(request, socket, makeResponder(request, socket), options_.replyBufferBytes);
            std::shared_ptr<Exchange> exchange(raw, [inFlight = inFlight_](Exchange* done) {
                --*inFlight;
                delete done;
            });
            handler_(std::move(exchange));
            return true;
        }

        void missingHandler(const QHttpServerRequest&, QTcpSocket*) override { }

    private:
        const HttpServerOptions& options_;
        RequestHandler handler_;
        std::shared_ptr<std::atomic<int>> inFlight_;
    };

    // A QTcpServer that never listens. It passes sockets of accepted connections to the Qt server bound to it.
    class SocketInjector : public QTcpServer {
    public:
        SocketInjector(const HttpServerOptions& options, std::shared_ptr<ConnectionCount> connections)
            : options_(options)
            , connections_(std::move(connections))
        {
        }

        void adopt(qintptr descriptor)
        {
            auto* socket = new ValidatingSocket(options_, connections_, this);
            if (!socket->adopt(descriptor)) {
                if (socket->state() == QAbstractSocket::UnconnectedState)
                    socket->deleteLater();
                else
                    socket->connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
                return;
            }
            addPendingConnection(socket);
            Q_EMIT newConnection();
            socket->trackUnreadBytes();
        }

    private:
        const HttpServerOptions& options_;
        std::shared_ptr<ConnectionCount> connections_;
    };

} // namespace

// A Qt server that runs on its own thread or, with `ownThread` false, on the creating thread.
class HttpServer::Worker : public QObject {
public:
    Worker(const HttpServerOptions& options, const RequestHandler& handler, const std::shared_ptr<std::atomic<int>>& inFlight,
        const std::shared_ptr<ConnectionCount>& connections, bool ownThread)
    {
        auto open = [&, this] {
            server_ = std::make_unique<WorkerServer>(options, handler, inFlight);
            injector_ = new SocketInjector(options, connections);
            injector_->setMaxPendingConnections(options.maxConnections);
            server_->bind(injector_);
        };
        if (!ownThread) {
            open();
            return;
        }
        moveToThread(&thread_);
        thread_.start();
        QMetaObject::invokeMethod(this, open, Qt::BlockingQueuedConnection);
    }

    ~Worker() override
    {
        if (!thread_.isRunning())
            return;
        QMetaObject::invokeMethod(
            this, [this] { server_.reset(); }, Qt::BlockingQueuedConnection);
        thread_.quit();
        thread_.wait();
    }

    void adopt(qintptr descriptor)
    {
        QMetaObject::invokeMethod(this, [this, descriptor] { injector_->adopt(descriptor); });
    }

private:
    QThread thread_;
    std::unique_ptr<WorkerServer> server_;
    SocketInjector* injector_ = nullptr; // owned by server_
};

// Accepts connections on the creating thread and distributes them round-robin to the workers.
class HttpServer::Acceptor : public QTcpServer {
public:
    explicit Acceptor(HttpServer& server)
        : server_(server)
    {
    }

protected:
    void incomingConnection(qintptr descriptor) override
    {
        server_.workers_[next_++ % server_.workers_.size()]->adopt(descriptor);
    }

private:
    HttpServer& server_;
    size_t next_ = 0;
};

HttpServer::HttpServer(HttpServerOptions options, RequestHandler handler)
    : options_(std::move(options))
    , handler_(std::move(handler))
    , inFlight_(std::make_shared<std::atomic<int>>(0))
    , connections_(std::make_shared<ConnectionCount>(options_.maxConnections, options_.maxConnectionsPerAddress))
{
}

HttpServer::~HttpServer() = default;

absl::Status HttpServer::start()
{
    const int count = std::max(1, options_.workers);
    for (int i = 0; i < count; ++i)
        workers_.push_back(std::make_unique<Worker>(options_, handler_, inFlight_, connections_, options_.workers > 0));
    acceptor_ = std::make_unique<Acceptor>(*this);
    acceptor_->setListenBacklogSize(1024);
    resumeAfterErrors(*acceptor_);
    if (!acceptor_->listen(options_.address, options_.port)) {
        return absl::UnavailableError("cannot listen on " + options_.address.toString().toStdString() + ":"
            + std::to_string(options_.port) + ": " + acceptor_->errorString().toStdString());
    }
    return absl::OkStatus();
}

void HttpServer::stopListening()
{
    if (acceptor_)
        acceptor_->close();
}

size_t HttpServer::connectionCount() const
{
    return connections_->slots()->used();
}

uint64_t HttpServer::evictedConnections() const
{
    return connections_->slots()->drops();
}

uint64_t HttpServer::cutInputs() const
{
    return connections_->cutInputs();
}

quint16 HttpServer::port() const
{
    return acceptor_ ? acceptor_->serverPort() : 0;
}

} // namespace hemlockweir
