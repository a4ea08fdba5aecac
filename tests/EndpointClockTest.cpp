#include "proxy/EndpointClock.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

// Tests of the order of what endpoints say of themselves.

using namespace hemlockweir;

namespace {

StatementTime at(int64_t startedAtMs, std::optional<uint64_t> sequence = std::nullopt)
{
    return { .startedAtMs = startedAtMs, .sequence = sequence };
}

TEST(EndpointClock, OlderStatementOfTheSameProcessIsRefused)
{
    EndpointClock clock;
    EXPECT_TRUE(clock.accept(at(7, 8)));
    EXPECT_FALSE(clock.accept(at(7, 5)));
    EXPECT_TRUE(clock.accept(at(7, 8))) << "the same number again";
    EXPECT_TRUE(clock.accept(at(7, 9)));
}

TEST(EndpointClock, RestartCountsAnewAndEndsTheProcessBefore)
{
    EndpointClock clock;
    EXPECT_TRUE(clock.accept(at(7, 80)));
    EXPECT_TRUE(clock.accept(at(8, 0)));
    EXPECT_FALSE(clock.accept(at(7, 81)));
    EXPECT_FALSE(clock.accept(at(7)));
    EXPECT_TRUE(clock.accept(at(8, 1)));
}

TEST(EndpointClock, StatementThatCanNotBeOrderedIsAcceptedAndForgetsNothing)
{
    EndpointClock clock;
    EXPECT_TRUE(clock.accept(at(7, 8)));
    EXPECT_TRUE(clock.accept(at(7)));
    EXPECT_TRUE(clock.accept(at(0, 3)));
    EXPECT_TRUE(clock.accept(at(0)));
    EXPECT_FALSE(clock.accept(at(7, 5)));
}

// Small values, so that starts and numbers repeat.
rc::Gen<StatementTime> anyTime(bool mayBeUnknown)
{
    const auto sequence = mayBeUnknown ? rc::gen::inRange(-1, 8) : rc::gen::inRange(0, 8);
    return rc::gen::apply(
        [](int startedAtMs, int number) { return at(startedAtMs, number < 0 ? std::nullopt : std::optional(static_cast<uint64_t>(number))); }, rc::gen::inRange(mayBeUnknown ? 0 : 1, 4), sequence);
}

// Returns the last accepted statement.
StatementTime believe(const std::vector<StatementTime>& arrivals)
{
    EndpointClock clock;
    StatementTime belief;
    for (const StatementTime& time : arrivals) {
        if (clock.accept(time))
            belief = time;
    }
    return belief;
}

RC_GTEST_PROP(EndpointClock, TheNewestIsBelievedInAnyOrderOfArrival, ())
{
    std::vector<StatementTime> arrivals = *rc::gen::nonEmpty(rc::gen::container<std::vector<StatementTime>>(anyTime(false)));
    const StatementTime newest = *std::max_element(arrivals.begin(), arrivals.end(), [](const StatementTime& a, const StatementTime& b) { return std::pair(a.startedAtMs, a.sequence) < std::pair(b.startedAtMs, b.sequence); });
    RC_ASSERT(believe(arrivals) == newest);
    const std::vector<uint32_t> order = *rc::gen::container<std::vector<uint32_t>>(arrivals.size(), rc::gen::arbitrary<uint32_t>());
    for (size_t i = arrivals.size(); i > 1; --i)
        std::swap(arrivals[i - 1], arrivals[order[i - 1] % i]);
    RC_ASSERT(believe(arrivals) == newest);
}

RC_GTEST_PROP(EndpointClock, NothingOlderThanAnAcceptedOneIsAccepted, ())
{
    const auto arrivals = *rc::gen::container<std::vector<StatementTime>>(anyTime(true));
    EndpointClock clock;
    std::vector<StatementTime> accepted;
    for (const StatementTime& time : arrivals) {
        const bool isOlder = std::any_of(accepted.begin(), accepted.end(), [&](const StatementTime& other) { return time.isBefore(other); });
        RC_ASSERT(clock.accept(time) == !isOlder);
        if (!isOlder)
            accepted.push_back(time);
    }
}

} // namespace
