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

// Requests between nodes over TCP: one sealed request and one sealed answer a connection.
//
// A tag shows who made a message, not when: what a handler does must bear a request that comes
// twice, and a caller must know its answer by something that it sent. Lives on the control thread.

namespace hemlockweir {

// Serves requests of peers, each kind by its own handler.
class PeerServer : public QObject {
    Q_OBJECT
public:
    struct Options {
        QHostAddress address;
        quint16 port = 0; // TCP
        QByteArray clusterKey;
        Millis connectionTimeout { 5000 }; // ms for one request and its answer
        int maxConnections = 128; // more are closed at once
        qsizetype maxRequestBytes = 80 * 1024; // of one request; larger ones are cut off
    };

    // Takes a request and gives the sealed answer, at once or later; none closes the connection.
    using Responder = std::function<void(const std::optional<QByteArray>&)>;
    using Handler = std::function<void(const Envelope&, const Responder&)>;

    explicit PeerServer(Options options);

    // Sets who answers requests of a kind. Needed before start().
    void setHandler(MessageKind kind, Handler handler);

    // Opens the port.
    absl::Status start();

private:
    void accept();
    void readRequest(QTcpSocket* socket, QByteArray& received);
    static void send(QTcpSocket* socket, const std::optional<QByteArray>& answer);

    Options options_;
    QTcpServer server_;
    std::map<MessageKind, Handler> handlers_;
    int openConnections_ = 0;
};

// One request to a peer. Ends by itself; destroying it drops the answer.
class PeerCall : public QObject {
    Q_OBJECT
public:
    struct Options {
        QByteArray clusterKey;
        Millis timeout { 1000 }; // ms, whole call
        qsizetype maxAnswerBytes = 80 * 1024;
    };

    explicit PeerCall(Options options);

    // Sends a sealed request to ADDRESS:PORT. `done` is called once, after return; the call may be
    // destroyed in it. Unavailable: no usable answer; the peer may have taken the request.
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

// Makes requests to peers, a bounded number at once.
class PeerClient : public QObject {
    Q_OBJECT
public:
    struct Options {
        std::string node;
        uint64_t incarnation = 0;
        QByteArray clusterKey;
        Millis timeout { 1000 }; // ms for one request and its answer
        size_t maxCalls = 256; // in flight; more fail at once
    };

    explicit PeerClient(Options options)
        : options_(std::move(options))
    {
    }

    // Seals a message of this node.
    template <typename Message>
    QByteArray seal(const Message& message)
    {
        return sealMessage(message, { .node = options_.node, .incarnation = options_.incarnation, .sequence = ++sequence_ }, options_.clusterKey);
    }

    // Sends a message to ADDRESS:PORT and takes the answer; `done` is called once.
    template <typename Reply, typename Message>
    void sendRequest(const std::string& endpoint, const Message& message, std::function<void(const absl::StatusOr<Reply>&)> done)
    {
        call(endpoint, seal(message), [done = std::move(done)](const absl::StatusOr<Envelope>& envelope) {
            if (!envelope.ok())
                done(envelope.status());
            else if (envelope->kind != Reply::kind)
                done(absl::InvalidArgumentError("another message than asked for"));
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
