#pragma once

#include "base/Log.h"

#include <QTcpServer>
#include <QTimer>

// Keeps Qt's servers accepting.

namespace hemlockweir {

// Makes a server accept again a moment after it failed to, for want of descriptors above all: Qt stops to accept then. Call it once
// for a server, before it listens.
inline void resumeAfterErrors(QTcpServer& server)
{
    // Trying at once would keep the thread busy.
    constexpr std::chrono::milliseconds pause { 100 };
    QObject::connect(&server, &QTcpServer::acceptError, &server, [&server] {
        logWarning("accept_failed", { { "error", server.errorString().toStdString() } });
        QTimer::singleShot(pause, &server, [&server] { server.resumeAccepting(); });
    });
}

} // namespace hemlockweir
