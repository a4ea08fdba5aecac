// Runs the tests of one program inside a Qt application, which the HTTP client needs.

#include <QCoreApplication>
#include <gtest/gtest.h>

int main(int argc, char** argv)
{
    testing::InitGoogleTest(&argc, argv);
    QCoreApplication application(argc, argv);
    return RUN_ALL_TESTS();
}
