#pragma once

#include "base/Clock.h"
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

// The HTTP server of every program here: Qt's server behind sockets that keep limits.
//
//   HttpServer server({ .address = address, .port = 8080 }, [](std::shared_ptr<Exchange> exchange) {
//       exchange->sendJson(200, { { "ok", true } });
//   });
//   absl::Status started = server.start();
//
// One acceptor hands connections to a pool of workers, each a thread with an event loop. An
// Exchange belongs to the thread that made it: call it from there only.

class QHttpServerResponder;

namespace hemlockweir {

// Limits and addresses of one server.
struct HttpServerOptions {
    QHostAddress address; // where to listen
    quint16 port = 0; // 0: any free port
    int workers = 0; // threads; 0: requests are handled on the thread that calls start()
    RequestLimits limits; // size of one request
    Millis requestTimeout { 10000 }; // ms, first byte to last byte of one request
    Millis idleTimeout { 60000 }; // ms, silence between requests
    Millis peerTimeout { 15000 }; // ms without an answer from the other machine's TCP; then the connection is cut
    int maxConnections = 4096; // open connections, all callers together
    int maxConnectionsPerAddress = 1024; // open connections from one IP address
    qint64 replyBufferBytes = 1024 * 1024; // bytes a slow reader may leave unread
    std::function<QSslConfiguration()> tls; // asked at each new connection, on any worker; unset: plain HTTP
};

// One header of a reply.
struct HttpHeader {
    QByteArray name;
    QByteArray value;
};

// One request and its reply, in one piece or as server-sent events.
class Exchange : public QObject {
    Q_OBJECT
public:
    Exchange(const QHttpServerRequest& request, QTcpSocket* socket, QHttpServerResponder&& responder, qint64 replyBufferBytes);
    ~Exchange() override;

    // The request, copied.
    QByteArray method() const { return method_; }
    QString path() const { return path_; }
    QString query(const QString& name) const;
    QByteArray header(const QByteArray& name) const;
    const QByteArray& body() const { return body_; }

    // Replies in one piece. Later calls do nothing.
    void sendJson(int status, const QJsonObject& object, const std::vector<HttpHeader>& headers = {});
    void sendBytes(int status, const QByteArray& contentType, const QByteArray& bytes, const std::vector<HttpHeader>& headers = {});

    // Replies as a stream: one start, any number of chunks, one finish.
    void startStream(const QByteArray& contentType, const std::vector<HttpHeader>& headers = {});
    void sendChunk(const QByteArray& bytes);
    void sendEvent(const QByteArray& data);
    void finishStream();

    // Closes the connection without a proper end, so that the caller sees a cut answer as one.
    void abort();

    // Whether the caller's connection is gone, or a final reply was given.
    bool isOver() const { return over_ || !socket_; }
    bool isStreaming() const { return streaming_; }

    // Asked at the head of the reply: whether the caller is told to use another connection next.
    std::function<bool()> closesConnection;

    // Called once if the caller goes before the reply is finished.
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

// Handles one request; runs on the worker that owns the connection.
using RequestHandler = std::function<void(std::shared_ptr<Exchange>)>;

// Counts of open connections, shared by the acceptor and the workers.
class ConnectionCount;

// A listening server and its workers.
class HttpServer : public QObject {
    Q_OBJECT
public:
    HttpServer(HttpServerOptions options, RequestHandler handler);
    ~HttpServer() override;

    // Listens; UnavailableError names the address when it cannot be bound.
    absl::Status start();

    // Stops accepting; open connections go on.
    void stopListening();

    // The port in use, once started.
    quint16 port() const;

    // Requests whose Exchange is still alive.
    int requestsInFlight() const { return *inFlight_; }

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
