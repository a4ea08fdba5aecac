#include "support/Wait.h"

#include <QCoreApplication>
#include <QDeadlineTimer>
#include <QThread>

namespace hemlockweir {

bool waitUntil(const std::function<bool()>& condition, Millis limit)
{
    const QDeadlineTimer deadline(limit);
    while (!condition()) {
        if (deadline.hasExpired())
            return false;
        QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
        QThread::msleep(2);
    }
    return true;
}

} // namespace hemlockweir
