#pragma once

#include "http/HttpServer.h"

#include <QSslSocket>
#include <QTimer>
#include <map>
#include <mutex>

// The socket and the connection count behind HttpServer; private to this package.

namespace hemlockweir {

// Open connections in all and per address. Thread-safe; its lock is a leaf.
class ConnectionCount {
public:
    ConnectionCount(int total, int perAddress);

    // Counts a connection in; false when a limit is reached.
    bool acquire(const QString& address);
    void release(const QString& address);

private:
    std::mutex mutex_;
    int totalLimit_;
    int perAddressLimit_;
    int total_ = 0;
    std::map<QString, int> byAddress_;
};

// A TCP socket that scans what arrives before Qt's server sees it, and refuses a breach of the
// limits with an answer that the caller can read. Speaks TLS if the options say so.
class ValidatingSocket : public QSslSocket {
    Q_OBJECT
public:
    ValidatingSocket(const HttpServerOptions& options, std::shared_ptr<ConnectionCount> connections, QObject* parent);
    ~ValidatingSocket() override;

    // Takes over an accepted descriptor; false when it or a connection limit is refused.
    bool adopt(qintptr descriptor);

    // Call once the server has connected its own slots: what they leave unread was scanned before.
    void trackUnreadBytes();

    // Marks that a handler is at work, during which the idle timer rests.
    void startReply() { ++activeReplies_; }
    void finishReply();
    bool isReplying() const { return activeReplies_ > 0; }

    // Bytes of replies that the caller has not taken, encrypted ones included.
    qint64 unsentBytes() const { return bytesToWrite() + encryptedBytesToWrite(); }

    // Closes once the reply at work is finished: answers to pipelined requests never mix.
    void closeAfterReply() { closesAfterReply_ = true; }

private:
    bool isHandshaking() const { return options_.tls && !isEncrypted(); }
    void startTls();
    void scanReceived();
    void handleVerdict(ScanVerdict verdict);
    void refuse(int status, const char* reason);
    void discardReceived();
    void shutDownWriting();
    void handleDeadline();
    void restartTimer();

    HttpServerOptions options_;
    std::shared_ptr<ConnectionCount> connections_;
    RequestScanner scanner_;
    QTimer timer_;
    QString peer_;
    qint64 scannedUnread_ = 0; // bytes that were scanned and are still unread
    uint64_t requestsSeen_ = 0;
    int activeReplies_ = 0;
    bool midRequest_ = false;
    bool refused_ = false;
    bool counted_ = false;
    bool closesAfterReply_ = false;
};

} // namespace hemlockweir
