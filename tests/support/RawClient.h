#pragma once

#include "support/Wait.h"

#include <QByteArray>
#include <QTcpSocket>
#include <string>

// A caller that speaks bytes, for requests that no library would send.

namespace hemlockweir {

class RawClient {
public:
    // Connects; ends the test's wait at once when nothing listens.
    explicit RawClient(const std::string& endpoint, const std::string& from = {});

    // Sends as much as the other end takes; goes on while the event loop runs.
    void send(const QByteArray& bytes);

    // Waits until a whole head and `bodyBytes` after it arrived, or the other end closed.
    int waitForStatus();
    bool waitForText(const QByteArray& text);
    bool waitForClose();

    // Closes with a reset, as a crashed caller does.
    void resetConnection();

    const QByteArray& received();
    // The body of the last answer, without its head.
    QByteArray body();
    QTcpSocket& socket() { return socket_; }

private:
    QTcpSocket socket_;
    QByteArray received_;
};

} // namespace hemlockweir
