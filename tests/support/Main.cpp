// Runs the tests of one program inside a Qt application, which the HTTP client needs.

#include <QCoreApplication>
#include <QDir>
#include <QThread>
#include <gtest/gtest.h>

// Waits until threads that have finished are gone, for a second at most. Qt's network thread frees the state of OpenSSL that belongs to
// it only after Qt has seen its end, and the leak sanitizer would report that state.
static void waitForEndOfThreads()
{
    constexpr int tries = 100;
    constexpr unsigned long pauseMs = 10;
    const QDir threads("/proc/self/task");
    for (int i = 0; i < tries && threads.entryList(QDir::Dirs | QDir::NoDotAndDotDot).size() > 1; ++i)
        QThread::msleep(pauseMs);
}

int main(int argc, char** argv)
{
    testing::InitGoogleTest(&argc, argv);
    // Properties are checked on the same cases each run; RC_PARAMS="seed=NUMBER" tries others.
    if (!qEnvironmentVariableIsSet("RC_PARAMS"))
        qputenv("RC_PARAMS", "seed=1");
    QCoreApplication application(argc, argv);
    const int result = RUN_ALL_TESTS();
    waitForEndOfThreads();
    return result;
}
