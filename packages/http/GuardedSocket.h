#pragma once

#include "http/HttpServer.h"

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

// A TCP socket that scans what is read from it and closes on a breach of the limits.
class GuardedSocket : public QTcpSocket {
    Q_OBJECT
public:
    GuardedSocket(const HttpServerOptions& options, std::shared_ptr<ConnectionCount> connections, QObject* parent);
    ~GuardedSocket() override;

    // Takes over an accepted descriptor; false when it or a connection limit is refused.
    bool adopt(qintptr descriptor);

    // Marks that a handler is at work, during which the idle timer rests.
    void startReply() { ++replies_; }
    void finishReply();

protected:
    qint64 readData(char* data, qint64 maxSize) override;

private:
    void refuse(int status, const char* reason);
    void checkDeadline();
    void restartTimer();

    HttpServerOptions options_;
    std::shared_ptr<ConnectionCount> connections_;
    RequestScanner scanner_;
    QTimer timer_;
    QString peer_;
    uint64_t requestsSeen_ = 0;
    int replies_ = 0;
    bool midRequest_ = false;
    bool refused_ = false;
    bool counted_ = false;
};

} // namespace hemlockweir
