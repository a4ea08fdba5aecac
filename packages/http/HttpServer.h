#pragma once

#include "base/Clock.h"
#include "http/MemoryBudget.h"
#include "http/RequestScanner.h"

#include <QByteArray>
#include <QHostAddress>
#include <QHttpServerRequest>
#include <QJsonObject>
#include <QObject>
#include <QPointer>
#include <QSslConfiguration>
#include <QTcpSocket>
#include <absl/status/status.h>
#include <atomic>
#include <functional>
#include <memory>
#include <vector>

// An HTTP server: QAbstractHttpServer on sockets that validate requests and enforce limits.
//
//   HttpServer server({ .address = address, .port = 8080 }, [](std::shared_ptr<Exchange> exchange) {
//       exchange->sendJson(200, { { "ok", true } });
//   });
//   absl::Status started = server.start();
//
// One acceptor distributes connections to a pool of workers, each a thread with an event loop. An Exchange belongs
// to the thread that created it and must only be used from there.

class QHttpServerResponder;

namespace hemlockweir {

// Address, limits and timeouts of one server.
struct HttpServerOptions {
    QHostAddress address; // address to listen on
    quint16 port = 0; // 0: any free port
    int workers = 0; // number of threads; 0: requests are handled on the thread that calls start()
    RequestLimits limits; // size limits of one request
    Millis requestTimeout { 10000 }; // ms, from the first to the last byte of one request; also limits the TLS handshake
    Millis idleTimeout { 60000 }; // ms, between requests
    Millis peerTimeout { 15000 }; // ms without a response from the peer host's TCP, after which the connection is aborted
    int maxConnections = 4096; // open connections of all callers; over it, the one that has waited longest without a request at work is closed
    int maxConnectionsPerAddress = 1024; // open connections from one IP address
    qint64 discardBytes = 256 * 1024; // bytes of a refused request that are still read, so that its caller can read the refusal
    qint64 replyBufferBytes = 1024 * 1024; // bytes that a slow reader may leave unread before it is disconnected
    std::shared_ptr<MemoryBudget> memory; // counts the bytes held for callers, of all workers; may be null
    std::function<QSslConfiguration()> tls; // called for each new connection, on any worker; unset: plain HTTP
};

// One header of a reply.
struct HttpHeader {
    QByteArray name;
    QByteArray value;
};

// One request and its reply, which is sent in one piece or as a stream, such as server-sent events.
class Exchange : public QObject {
    Q_OBJECT
public:
    Exchange(const QHttpServerRequest& request, QTcpSocket* socket, QHttpServerResponder&& responder, qint64 replyBufferBytes);
    ~Exchange() override;

    // The request. It was copied and stays valid as long as the Exchange.
    QByteArray method() const { return method_; }
    QString path() const { return path_; }
    QString query(const QString& name) const;
    QByteArray header(const QByteArray& name) const;
    const QByteArray& body() const { return body_; }

    // Send the reply in one piece. Calls after the first reply are ignored.
    void sendJson(int status, const QJsonObject& object, const std::vector<HttpHeader>& headers = {});
    void sendBytes(int status, const QByteArray& contentType, const QByteArray& bytes, const std::vector<HttpHeader>& headers = {});

    // Send the reply as a stream: one startStream(), any number of chunks or events, one finishStream().
    void startStream(const QByteArray& contentType, const std::vector<HttpHeader>& headers = {});
    void sendChunk(const QByteArray& bytes);
    void sendEvent(const QByteArray& data);
    void finishStream();

    // Closes the connection without finishing the reply, so that the caller recognizes it as incomplete.
    void abort();

    // Returns whether the caller has disconnected or the reply is finished.
    bool isOver() const { return over_ || !socket_; }
    bool isStreaming() const { return streaming_; }

    // Called when the head of the reply is written. If it returns true, the head says `Connection: close`.
    std::function<bool()> closesConnection;

    // Called once if the caller disconnects before the reply is finished.
    std::function<void()> onDisconnected;

private:
    void handleDisconnected();
    void writeHead(int status, const QByteArray& contentType, const std::vector<HttpHeader>& headers);

    QByteArray method_;
    QString path_;
    QByteArray rawQuery_;
    std::vector<HttpHeader> headers_;
    QByteArray body_;
    QPointer<QTcpSocket> socket_;
    std::unique_ptr<QHttpServerResponder> responder_;
    qint64 replyBufferBytes_;
    bool streaming_ = false;
    bool over_ = false;
};

// Handles one request. Called on the worker that owns the connection.
using RequestHandler = std::function<void(std::shared_ptr<Exchange>)>;

// Counter of open connections, shared by all workers.
class ConnectionCount;

// A listening server and its worker threads.
class HttpServer : public QObject {
    Q_OBJECT
public:
    HttpServer(HttpServerOptions options, RequestHandler handler);
    ~HttpServer() override;

    // Starts the workers and listens. Returns UnavailableError with the address when it cannot be bound.
    absl::Status start();

    // Stops accepting connections. Open connections continue.
    void stopListening();

    // Returns the port in use, or 0 before start().
    quint16 port() const;

    // Returns the number of requests whose Exchange still exists.
    int requestsInFlight() const { return *inFlight_; }

    // Returns the number of open connections.
    size_t connectionCount() const;

    // Returns the number of connections that were closed because there were too many.
    uint64_t evictedConnections() const;

    // Returns the number of connections whose refused input was not read to its end.
    uint64_t cutInputs() const;

private:
    class Acceptor;
    class Worker;

    HttpServerOptions options_;
    RequestHandler handler_;
    std::shared_ptr<std::atomic<int>> inFlight_;
    std::shared_ptr<ConnectionCount> connections_;
    std::unique_ptr<Acceptor> acceptor_;
    std::vector<std::unique_ptr<Worker>> workers_;
};

} // namespace hemlockweir
