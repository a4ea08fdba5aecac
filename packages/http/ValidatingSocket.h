#pragma once

#include "http/HttpServer.h"

#include <QSslSocket>
#include <QTimer>
#include <map>
#include <mutex>

// The socket class and the connection counter of HttpServer. Internal to this package.

namespace hemlockweir {

// Counts open connections, in total and per IP address, and enforces limits on both. Thread-safe; no other
// lock is acquired while its mutex is held.
class ConnectionCount {
public:
    ConnectionCount(int total, int perAddress);

    // Adds a connection of an address. Returns false when its limit is reached.
    bool acquire(const QString& address);

    // Removes a connection of an address.
    void release(const QString& address);

    // Returns the budget of all open connections, each of which holds one unit. Over it, the connection that has waited longest
    // without a request at work is closed.
    const std::shared_ptr<MemoryBudget>& slots() const { return slots_; }

    // Returns whether so many connections are open that a new one is closed without an answer.
    bool isCrowded() const { return slots_->used() > slots_->limit() + maxRefusals; }

    // Count the connections whose refused input was not read to its end.
    void noteCutInput() { ++cutInputs_; }
    uint64_t cutInputs() const { return cutInputs_; }

private:
    // Connections over the limit that are answered with a refusal at the same time.
    static constexpr size_t maxRefusals = 16;

    std::mutex mutex_;
    int perAddressLimit_;
    std::map<QString, int> byAddress_;
    std::shared_ptr<MemoryBudget> slots_;
    std::atomic<uint64_t> cutInputs_ { 0 };
};

// A server-side TCP socket that validates received bytes before Qt's HTTP server reads them. A request that is
// malformed or exceeds a limit is refused with an HTTP error, and the connection is closed so that the caller
// can still read that error. Uses TLS if HttpServerOptions::tls is set.
class ValidatingSocket : public QSslSocket {
    Q_OBJECT
public:
    ValidatingSocket(const HttpServerOptions& options, std::shared_ptr<ConnectionCount> connections, QObject* parent);
    ~ValidatingSocket() override;

    // Takes ownership of an accepted descriptor. Returns false when the descriptor is invalid or a connection
    // limit is reached.
    bool adopt(qintptr descriptor);

    // Call after Qt's server has connected its own slots. Bytes that those slots leave unread were scanned
    // already and are skipped by the next scan.
    void trackUnreadBytes();

    // Mark the start and the end of a reply. The idle timeout does not apply in between.
    void startReply(qint64 requestBytes);
    void finishReply();

    // Tells the budget what the connection holds. Call when reply bytes were queued.
    void noteHeldBytes();

    // Returns whether a request may be handled: the reply to the one before is written, and most of it was read.
    bool mayStartReply() const { return activeReplies_ == 0 && !closesAfterReply_ && unsentBytes() <= maxUnsentBeforeReply; }

    // Returns the number of reply bytes not yet written to the kernel, including encrypted bytes.
    qint64 unsentBytes() const { return bytesToWrite() + encryptedBytesToWrite(); }

    // Closes the connection after the current reply, so that replies to pipelined requests never interleave.
    void closeAfterReply();

private:
    // Unsent bytes of earlier replies above which no further request is handled.
    static constexpr qint64 maxUnsentBeforeReply = qint64 { 64 } * 1024;

    bool isHandshaking() const { return options_.tls && !isEncrypted(); }
    bool takeSlot();
    void noteSlot();
    void giveUpSlot();
    void limitTransportReads();
    void stopReading();
    void startTls();
    void scanReceived();
    void handleVerdict(ScanVerdict verdict);
    void refuse(int status, const char* reason);
    void discardReceived();
    void shutDownWriting();
    void handleDeadline();
    void releaseMemory();
    bool isBeingDropped();
    void restartTimer();

    HttpServerOptions options_;
    std::shared_ptr<ConnectionCount> connections_;
    MemoryBudget::Holder held_;
    MemoryBudget::Holder slot_; // one of the open connections
    RequestScanner scanner_;
    QTimer timer_;
    QString peer_;
    qint64 scannedUnread_ = 0; // bytes scanned, but not yet read by Qt's server
    qint64 discardedBytes_ = 0; // received since the refusal
    qint64 requestBytes_ = 0; // of the request that is being answered
    Millis heldSince_ { 0 }; // start of the unfinished request, or of the reply that is unread
    uint64_t requestsSeen_ = 0;
    int activeReplies_ = 0;
    bool midRequest_ = false;
    bool refused_ = false;
    bool counted_ = false;
    bool isTurnedAway_ = false; // refused because a request is at work on each open connection
    bool closesAfterReply_ = false;
};

} // namespace hemlockweir
