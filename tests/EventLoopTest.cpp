#include "gateway/EventLoop.h"
#include "base/Clock.h"

#include <boost/asio/post.hpp>
#include <ctime>
#include <gtest/gtest.h>
#include <stdexcept>

using namespace hemlockweir;

namespace {

TEST(EventLoop, ExceptionOfOneHandlerDoesNotEndTheOthers)
{
    boost::asio::io_context context;
    std::vector<std::string> errors;
    bool wasRun = false;
    boost::asio::post(context, [] { throw std::runtime_error("malformed message"); });
    boost::asio::post(context, [&] { wasRun = true; });
    runEventLoop(context, [&](const std::string& error) { errors.push_back(error); });
    EXPECT_TRUE(wasRun);
    EXPECT_EQ(errors, std::vector<std::string> { "malformed message" });
}

// A lease must have ended for a node whose instance was suspended for longer than it lasts: CLOCK_MONOTONIC, which
// std::chrono::steady_clock reads, does not count that time.
TEST(Clock, CountsTheTimeOfASuspendedInstance)
{
    const auto readBootTime = [] {
        timespec now {};
        clock_gettime(CLOCK_BOOTTIME, &now);
        return Millis(now.tv_sec * 1000 + now.tv_nsec / 1000000);
    };
    const Clock clock = makeSteadyClock();
    const Millis before = readBootTime();
    const Millis time = clock();
    EXPECT_GE(time, before);
    EXPECT_LE(time, readBootTime());
}

} // namespace
