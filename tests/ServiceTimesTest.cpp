#include "proxy/ServiceTimes.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

// Tests of the estimate of how long requests run, and of what a stopping node may still take.

using namespace hemlockweir;

namespace {

class ServiceTimesTest : public testing::Test {
protected:
    void note(int count, Millis time)
    {
        for (int i = 0; i < count; ++i)
            times_.note("draft", { .total = time });
    }

    Millis now_ { 100000 };
    ServiceTimes times_ { { .clock = [this] { return now_; }, .window = Millis(30000) } };
};

TEST_F(ServiceTimesTest, IsUnknownWithoutASample)
{
    note(1, Millis(100));
    EXPECT_EQ(times_.longest("look", 0), std::nullopt);
}

TEST_F(ServiceTimesTest, MarginShrinksWithTheNumberOfSamples)
{
    note(1, Millis(1000));
    EXPECT_EQ(times_.longest("draft", 0), Millis(3000));
    note(3, Millis(500));
    EXPECT_EQ(times_.longest("draft", 0), Millis(2000));
    note(60, Millis(10));
    EXPECT_EQ(times_.longest("draft", 0), Millis(1250));
}

// Most responses of the incident were short, and the one that was cut was three times as long as the median.
TEST_F(ServiceTimesTest, ManyShortResponsesDoNotHideALongOne)
{
    note(1, Millis(4600));
    note(99, Millis(1400));
    EXPECT_GE(times_.longest("draft", 0), Millis(4600));
}

TEST_F(ServiceTimesTest, SampleExpiresAfterTwoWindows)
{
    note(1, Millis(9000));
    now_ += Millis(31000);
    note(4, Millis(1000));
    EXPECT_GE(times_.longest("draft", 0), Millis(9000));
    now_ += Millis(31000);
    note(4, Millis(1000));
    EXPECT_LT(times_.longest("draft", 0), Millis(9000));
}

TEST_F(ServiceTimesTest, RoutesThatAreGoneAreForgotten)
{
    note(1, Millis(1000));
    times_.retainIf([](const std::string& route) { return route != "draft"; });
    EXPECT_EQ(times_.longest("draft", 0), std::nullopt);
}

TEST_F(ServiceTimesTest, SamplesExpireWithoutNewOnes)
{
    note(1, Millis(9000));
    now_ += Millis(61000);
    EXPECT_EQ(times_.longest("draft", 0), std::nullopt);
}

// Guards against streams that are cut at the exit: the recent ones of the route were all shorter than one whose limit of
// tokens is higher.
TEST_F(ServiceTimesTest, LongerStreamThanAnyRecentOneTakesLonger)
{
    for (int i = 0; i < 48; ++i)
        times_.note("draft", { .total = Millis(2580), .untilFirstEvent = Millis(60), .answerTokens = 215 });
    EXPECT_GE(times_.longest("draft", 435), Millis(5220));
    EXPECT_LE(times_.longest("draft", 300), Millis(4250));
}

TEST_F(ServiceTimesTest, ShortStreamOfARouteWithLongOnesIsExpectedToBeShort)
{
    times_.note("draft", { .total = Millis(5200), .untilFirstEvent = Millis(50), .answerTokens = 1300 });
    note(63, Millis(200));
    EXPECT_LE(times_.longest("draft", 50), Millis(700));
}

// A slow start and a slow pace of different streams are not added up beyond the longest of them.
TEST_F(ServiceTimesTest, StreamIsNotExpectedToTakeLongerThanTheLongestOfItsSize)
{
    for (int i = 0; i < 100; ++i) {
        times_.note("draft", { .total = Millis(4000), .untilFirstEvent = Millis(3000), .answerTokens = 200 });
        times_.note("draft", { .total = Millis(4200), .untilFirstEvent = Millis(200), .answerTokens = 200 });
    }
    EXPECT_LE(times_.longest("draft", 200), Millis(4800));
    EXPECT_GE(times_.longest("draft", 400), Millis(7000));
}

// A pause in a stream of a few tokens does not make those of many tokens look endless.
TEST_F(ServiceTimesTest, PauseInAShortStreamHasABoundedPace)
{
    note(99, Millis(100));
    times_.note("draft", { .total = Millis(700), .untilFirstEvent = Millis(50), .answerTokens = 5 });
    EXPECT_GE(times_.longest("draft", 5), Millis(700));
    EXPECT_LE(times_.longest("draft", 435), Millis(10000));
}

TEST_F(ServiceTimesTest, StreamWithoutALimitCountsAsTheLongest)
{
    times_.note("draft", { .total = Millis(1000), .untilFirstEvent = Millis(50), .answerTokens = 100 });
    EXPECT_EQ(times_.longest("draft", 0), Millis(3000));
    times_.note("look", { .total = Millis(1000) });
    EXPECT_EQ(times_.longest("look", 100), Millis(3000));
}

TEST(EndsInTime, UnknownTimesCountAsTheDeadline)
{
    EXPECT_FALSE(endsInTime(Millis(4000), std::nullopt, Millis(6000)));
    EXPECT_TRUE(endsInTime(Millis(4000), std::nullopt, Millis(3000)));
    EXPECT_TRUE(endsInTime(Millis(4000), Millis(3000), Millis(6000)));
    EXPECT_FALSE(endsInTime(Millis(4000), Millis(5000), Millis(6000)));
}

// A request ends at its deadline, however long others of its route ran.
TEST(EndsInTime, DeadlineLimitsTheExpectedTime)
{
    EXPECT_TRUE(endsInTime(Millis(4000), Millis(9000), Millis(1000)));
}

TEST(EndsInTime, NothingEndsAfterTheExit)
{
    EXPECT_FALSE(endsInTime(Millis(0), std::nullopt, Millis(0)));
    EXPECT_FALSE(endsInTime(Millis(-1), Millis(-1), Millis(-1)));
}

RC_GTEST_PROP(ServiceTimesProperty, IsNeverBelowARecentSample, ())
{
    Millis now { 0 };
    ServiceTimes times({ .clock = [&now] { return now; } });
    const auto samples = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60000)));
    for (const int sample : samples) {
        now += Millis(*rc::gen::inRange(0, 500));
        times.note("draft", { .total = Millis(sample) });
        RC_ASSERT(times.longest("draft", 0) >= Millis(sample));
    }
}

RC_GTEST_PROP(ServiceTimesProperty, IsNeverBelowARecentStreamWithTheSameLimit, ())
{
    Millis now { 0 };
    ServiceTimes times({ .clock = [&now] { return now; } });
    const auto limits = *rc::gen::nonEmpty(rc::gen::container<std::vector<uint32_t>>(rc::gen::inRange(1U, 2000U)));
    for (const uint32_t limit : limits) {
        now += Millis(*rc::gen::inRange(0, 500));
        const Millis start(*rc::gen::inRange(0, 3000));
        const Millis total = start + Millis(*rc::gen::inRange(0, 9000));
        times.note("draft", { .total = total, .untilFirstEvent = start, .answerTokens = limit });
        RC_ASSERT(times.longest("draft", limit) >= total);
    }
}

} // namespace
