#include "proxy/RequestTimes.h"
#include "proxy/ForwardedHeaders.h"

#include <gtest/gtest.h>

// Tests of whether a response counts as on time, and of the prompt size that a request declares.

using namespace hemlockweir;

namespace {

const Route route { .objective = Millis(250), .gapTarget = Millis(200) };

TEST(RequestTimesTest, StreamThatPausesTooLongIsLate)
{
    RequestTimes times { .startedAt = Millis(1000), .firstByteAt = Millis(1200) };
    times.noteEvent(Millis(1200));
    times.noteEvent(Millis(1400));
    EXPECT_FALSE(times.isLate(route));
    times.noteEvent(Millis(1601));
    EXPECT_TRUE(times.isLate(route));
    EXPECT_EQ(times.longestGap, Millis(201));
}

TEST(RequestTimesTest, ResponseThatStartsAfterItsObjectiveIsLate)
{
    EXPECT_TRUE((RequestTimes { .startedAt = Millis(1000), .firstByteAt = Millis(1251) }).isLate(route));
    EXPECT_FALSE((RequestTimes { .startedAt = Millis(1000), .firstByteAt = Millis(1250) }).isLate(route));
}

TEST(RequestTimesTest, SumsTheWaitsForAllSlots)
{
    RequestTimes times { .startedAt = Millis(1000) };
    times.startWaiting(Millis(1000));
    times.stopWaiting(Millis(1030));
    times.startWaiting(Millis(1100));
    times.stopWaiting(Millis(1120));
    EXPECT_EQ(times.waited, Millis(50));
}

TEST(PromptTokensTest, ParsesTheFirstOfTwoCounts)
{
    EXPECT_EQ(parsePromptTokens("1460,80"), 1460U);
    for (const char* text : { "", "1460", ",80", "-1,80", "many,80", "99999999999,1" })
        EXPECT_EQ(parsePromptTokens(text), 0U) << text;
}

} // namespace
