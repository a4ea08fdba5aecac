// Tests that signals which come in series and overlap don't end a gateway otherwise than by a stop.

#include "support/CallerMemory.h"

#include <QCoreApplication>
#include <QDeadlineTimer>
#include <QThread>
#include <csignal>

namespace hemlockweir {

class GatewaySignals : public GatewayCallerMemory {
protected:
    // Sends a signal again and again until the gateway has ended.
    bool endsBesideSignals(int number)
    {
        constexpr int signalsAtOnce = 100;
        constexpr unsigned long pauseUs = 50; // leaves the process time to stop
        const QDeadlineTimer deadline(hangLimit);
        while (cluster_.isRunning("g") && !deadline.hasExpired()) {
            for (int i = 0; i < signalsAtOnce; ++i) {
                cluster_.signal("g", number);
                QThread::usleep(pauseUs);
            }
            QCoreApplication::processEvents();
        }
        return !cluster_.isRunning("g");
    }
};

// A reload that came while the stopped gateway freed its objects ended it by the signal: a supervisor sees a crash.
TEST_F(GatewaySignals, ReloadsUntilTheEndOfAStopDoNotChangeItsExitCode)
{
    cluster_.signal("g", SIGTERM);
    EXPECT_TRUE(endsBesideSignals(SIGHUP));
    EXPECT_EQ(cluster_.exitCodeOf("g"), 0);
}

// The same for a second stop.
TEST_F(GatewaySignals, StopsUntilTheEndOfAStopDoNotChangeItsExitCode)
{
    EXPECT_TRUE(endsBesideSignals(SIGTERM));
    EXPECT_EQ(cluster_.exitCodeOf("g"), 0);
}

} // namespace hemlockweir
