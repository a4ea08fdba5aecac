// Tests the byte budgets for traffic between nodes.

#include "membership/ByteBudget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace hemlockweir {

static constexpr double bytesPerSecond = 1000;
static constexpr double maxSaved = 500;

RC_GTEST_PROP(ByteBudget, NoIntervalExceedsRatePlusSavedBytesPlusOneMessage, (const std::vector<std::pair<uint8_t, uint16_t>>& requests))
{
    struct Sent {
        Millis at;
        double bytes;
    };
    constexpr double allowedDebt = 100;
    ByteBudget budget(bytesPerSecond, maxSaved);
    std::vector<Sent> sent;
    Millis now { 0 };
    for (const auto& [step, bytes] : requests) {
        now += Millis(step);
        if (budget.tryConsume(bytes, now, allowedDebt))
            sent.push_back({ .at = now, .bytes = static_cast<double>(bytes) });
    }
    for (size_t from = 0; from < sent.size(); ++from) {
        double sum = 0;
        for (size_t to = from; to < sent.size(); ++to) {
            sum += sent[to].bytes;
            const double span = static_cast<double>((sent[to].at - sent[from].at).count());
            RC_ASSERT(sum <= span * bytesPerSecond / 1000 + maxSaved + allowedDebt + sent[to].bytes + 0.001);
        }
    }
}

RC_GTEST_PROP(ByteBudget, MessageLargerThanMaxSavedIsSentEventually, (uint16_t bytes))
{
    ByteBudget budget(bytesPerSecond, maxSaved);
    RC_ASSERT(budget.tryConsume(bytes, Millis(0)));
    RC_ASSERT(budget.tryConsume(bytes, budget.timeUntilRepaid(Millis(0))));
}

RC_GTEST_PROP(ByteBudget, NoDebtRemainsAfterTheDelay, (const std::vector<uint16_t>& spent))
{
    ByteBudget budget(bytesPerSecond, maxSaved);
    const Millis now { 5 };
    for (const uint16_t bytes : spent)
        budget.consume(bytes, now);
    RC_ASSERT(budget.timeUntilRepaid(now + budget.timeUntilRepaid(now)) == Millis(0));
    RC_ASSERT(budget.tryConsume(0, now + budget.timeUntilRepaid(now)));
}

} // namespace hemlockweir
