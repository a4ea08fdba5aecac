#include "base/MachineLimits.h"

#include "config/ConnectionShares.h"

#include <QDir>
#include <QFile>
#include <QTemporaryDir>
#include <gtest/gtest.h>

// Tests of the bounds that a process derives from its machine.

using namespace hemlockweir;

namespace {

class MachineLimitsTest : public testing::Test {
protected:
    void write(const QString& path, const QByteArray& text)
    {
        const QString file = folder_.path() + path;
        EXPECT_TRUE(QDir().mkpath(file.section('/', 0, -2)));
        QFile out(file);
        EXPECT_TRUE(out.open(QIODevice::WriteOnly));
        out.write(text);
    }

    std::optional<size_t> memory() const { return readMachineLimits(folder_.path().toStdString()).memory; }

    QTemporaryDir folder_;
};

constexpr size_t megabyte = 1024 * 1024;

TEST_F(MachineLimitsTest, ReadsTheMemoryOfTheMachine)
{
    EXPECT_EQ(memory(), std::nullopt);
    write("/proc/meminfo", "MemTotal:         114688 kB\nMemFree:          1024 kB\n");
    EXPECT_EQ(memory(), 112 * megabyte);
}

TEST_F(MachineLimitsTest, TakesTheLeastLimitOfTheControlGroups)
{
    write("/proc/meminfo", "MemTotal:        1048576 kB\n");
    write("/proc/self/cgroup", "0::/services/entry\n");
    write("/sys/fs/cgroup/services/entry/memory.max", "max\n");
    EXPECT_EQ(memory(), 1024 * megabyte);
    write("/sys/fs/cgroup/services/memory.max", "268435456\n");
    EXPECT_EQ(memory(), 256 * megabyte);
    write("/sys/fs/cgroup/services/entry/memory.max", "134217728\n");
    EXPECT_EQ(memory(), 128 * megabyte);
}

TEST_F(MachineLimitsTest, ReadsTheLimitOfTheOutermostGroup)
{
    write("/proc/self/cgroup", "0::/\n");
    write("/sys/fs/cgroup/memory.max", "134217728\n");
    EXPECT_EQ(memory(), 128 * megabyte);
}

TEST_F(MachineLimitsTest, IgnoresWhatIsNoNumber)
{
    write("/proc/meminfo", "MemTotal: much\n");
    write("/proc/self/cgroup", "1:cpu:/x\n");
    EXPECT_EQ(memory(), std::nullopt);
}

TEST_F(MachineLimitsTest, SharesOfUnknownMemoryAreBounded)
{
    EXPECT_EQ(shareOfMemory({}, 4, 100), 100U);
    EXPECT_EQ(shareOfMemory({ .memory = 200 }, 4, 100), 50U);
    EXPECT_EQ(shareOfMemory({ .memory = 2000 }, 4, 100), 100U);
}

TEST(ConnectionShares, LeaveDescriptorsForAllElse)
{
    for (const size_t openFiles : { size_t { 0 }, size_t { 128 }, size_t { 256 }, size_t { 1024 }, size_t { 1048576 } }) {
        const ConnectionShares shares = shareDescriptors(openFiles);
        EXPECT_GT(shares.callers, 0U);
        EXPECT_GT(shares.control, 0U);
        // A connection from each caller and one to its endpoint, the idle ones, and those at two addresses of operators and nodes.
        EXPECT_LT(2 * shares.callers + shares.idleEndpoints + 2 * shares.control, std::max<size_t>(openFiles, 128));
    }
}

} // namespace
