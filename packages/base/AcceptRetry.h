#pragma once

#include "base/Log.h"

#include <QTcpServer>
#include <QTimer>
#include <chrono>

// Keeps Qt's servers accepting.

namespace hemlockweir {

// Pause before a server accepts again. Trying at once would keep the thread busy.
inline constexpr std::chrono::milliseconds acceptPause { 100 };

// Makes a server accept again a moment after it failed to, for want of descriptors above all: Qt stops to accept then. Call it once
// for a server, before it listens.
inline void resumeAfterErrors(QTcpServer& server)
{
    QObject::connect(&server, &QTcpServer::acceptError, &server, [&server] {
        logWarning("accept_failed", { { "error", server.errorString().toStdString() } });
        QTimer::singleShot(acceptPause, &server, [&server] { server.resumeAccepting(); });
    });
}

} // namespace hemlockweir
