// Runs the tests of one program inside a Qt application, which the HTTP client needs.

#include <QCoreApplication>
#include <gtest/gtest.h>

int main(int argc, char** argv)
{
    testing::InitGoogleTest(&argc, argv);
    // Properties are checked on the same cases each run; RC_PARAMS="seed=NUMBER" tries others.
    if (!qEnvironmentVariableIsSet("RC_PARAMS"))
        qputenv("RC_PARAMS", "seed=1");
    QCoreApplication application(argc, argv);
    return RUN_ALL_TESTS();
}
