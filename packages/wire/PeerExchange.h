#pragma once

#include "base/Clock.h"
#include "wire/Codec.h"

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <functional>
#include <map>
#include <memory>
#include <vector>

// Requests between nodes over TCP. Each connection carries one sealed request and one sealed answer.
//
// The tag of an envelope proves that a node of the cluster created it, but not when, so messages can
// be replayed. Handlers must tolerate repeated requests, and clients must match an answer to their
// request by a value that they sent. All classes are used on the control thread only.

namespace hemlockweir {

// Serves requests of peers. Each message kind has its own handler.
class PeerServer : public QObject {
    Q_OBJECT
public:
    struct Options {
        QHostAddress address;
        quint16 port = 0; // TCP
        QByteArray clusterKey;
        Millis connectionTimeout { 5000 }; // ms for one request and its answer
        size_t maxConnections = 128; // over it, the one that has waited longest for its request is closed
        qsizetype maxRequestBytes = 80 * 1024; // of one request; connections with larger requests are closed
    };

    // Sends the sealed answer to a request; nullopt closes the connection without an answer.
    using Responder = std::function<void(const std::optional<QByteArray>&)>;
    // Handles a request and calls the responder, either immediately or later.
    using Handler = std::function<void(const Envelope&, const Responder&)>;

    explicit PeerServer(Options options);

    // Sets the handler for requests of a kind. Must be called before start().
    void setHandler(MessageKind kind, Handler handler);

    // Listens on the configured address. Returns Unavailable if that fails.
    absl::Status start();

    // Returns the number of connections that were closed because there were too many.
    uint64_t evictedConnections() const { return evictedConnections_; }

private:
    void accept();
    void add(QTcpSocket* socket);
    void evictOldest();
    void readRequest(QTcpSocket* socket, QByteArray& received);
    static void send(QTcpSocket* socket, const std::optional<QByteArray>& answer);

    Options options_;
    std::vector<QTcpSocket*> waiting_; // open connections without a complete request, the oldest first
    size_t openConnections_ = 0;
    uint64_t evictedConnections_ = 0;
    QTcpServer server_; // after what its connections change when it closes them
    std::map<MessageKind, Handler> handlers_;
};

// One request to a peer. It ends with an answer, an error or a timeout; destroying it discards the
// answer.
class PeerCall : public QObject {
    Q_OBJECT
public:
    struct Options {
        QByteArray clusterKey;
        Millis timeout { 1000 }; // ms, from start() to the answer
        qsizetype maxAnswerBytes = 80 * 1024;
    };

    explicit PeerCall(Options options);

    // Sends a sealed request to ADDRESS:PORT. Calls `done` once, after this function has returned;
    // `done` may destroy the call. Unavailable means that no answer arrived, other errors
    // that the answer was invalid. In both cases the peer may have handled the request.
    void start(const std::string& endpoint, const QByteArray& request, std::function<void(const absl::StatusOr<Envelope>&)> done);

private:
    void readAnswer();
    void finish(const absl::StatusOr<Envelope>& result);

    Options options_;
    QTcpSocket socket_;
    QTimer timer_;
    QByteArray received_;
    std::function<void(const absl::StatusOr<Envelope>&)> done_;
};

// Sends requests to peers, with a limit on concurrent requests.
class PeerClient : public QObject {
    Q_OBJECT
public:
    struct Options {
        std::string node;
        uint64_t incarnation = 0;
        QByteArray clusterKey;
        Millis timeout { 1000 }; // ms for one request and its answer
        size_t maxCalls = 256; // maximum in flight; further requests fail with ResourceExhausted
    };

    explicit PeerClient(Options options)
        : options_(std::move(options))
    {
    }

    // Seals a message with this node as the sender.
    template <typename Message>
    QByteArray seal(const Message& message)
    {
        return sealMessage(message, { .node = options_.node, .incarnation = options_.incarnation, .sequence = ++sequence_ }, options_.clusterKey);
    }

    // Sends a message to ADDRESS:PORT and calls `done` once, with the decoded answer or an error.
    template <typename Reply, typename Message>
    void sendRequest(const std::string& endpoint, const Message& message, std::function<void(const absl::StatusOr<Reply>&)> done)
    {
        call(endpoint, seal(message), [done = std::move(done)](const absl::StatusOr<Envelope>& envelope) {
            if (!envelope.ok())
                done(envelope.status());
            else if (envelope->kind != Reply::kind)
                done(absl::InvalidArgumentError("the answer is of an unexpected message kind"));
            else
                done(decodeBody<Reply>(envelope->body));
        });
    }

private:
    void call(const std::string& endpoint, const QByteArray& request, std::function<void(const absl::StatusOr<Envelope>&)> done);

    Options options_;
    uint64_t sequence_ = 0;
    size_t calls_ = 0; // in flight
};

} // namespace hemlockweir
