#pragma once

#include "support/Wait.h"

#include <QByteArray>
#include <QSslSocket>
#include <string>

// A test client that sends raw bytes, for requests that an HTTP library would not send.

namespace hemlockweir {

class RawClient {
public:
    // Connects to `endpoint` (ADDRESS:PORT), optionally from the local address `from`. Blocks until the connection is
    // established or refused.
    explicit RawClient(const std::string& endpoint, const std::string& from = {});

    // Starts TLS without a check of the certificate. Blocks until the handshake is over or has failed.
    void startTls();

    // Never reads from now on, and lets the kernel take only a few bytes.
    void stopReading();

    // Sends the bytes without blocking. What the socket doesn't accept now is sent while the event loop runs.
    void send(const QByteArray& bytes);

    // Waits until the head of an answer was received or the peer closed. Returns the status, or 0 without an answer.
    int waitForStatus();

    // Wait for a text or for the close by the peer. Return false on timeout, or if the connection closed without the
    // text.
    bool waitForText(const QByteArray& text);
    bool waitForClose();

    // Resets the connection, as a crashed caller does.
    void resetConnection();

    // Returns all bytes received so far.
    const QByteArray& received();

    // Returns the body of the last answer.
    QByteArray body();
    QSslSocket& socket() { return socket_; }

    // Returns the number of bytes that the kernel has not accepted yet.
    qint64 unsentBytes() const { return socket_.bytesToWrite() + socket_.encryptedBytesToWrite(); }

private:
    QSslSocket socket_;
    QByteArray received_;
    bool isReading_ = true;
};

} // namespace hemlockweir
