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

TEST(TokenCountsTest, ParsesBothCounts)
{
    EXPECT_EQ(parseTokenCounts("1460,80"), (TokenCounts { .prompt = 1460, .maxAnswer = 80 }));
    for (const char* text : { "", "1460", ",80", "-1,80", "many,80", "99999999999,1" })
        EXPECT_EQ(parseTokenCounts(text).prompt, 0U) << text;
    for (const char* text : { "", "80", "80,", "1,-80", "1,many", "1,99999999999", "1,2,3" })
        EXPECT_EQ(parseTokenCounts(text).maxAnswer, 0U) << text;
}

} // namespace
