// Budgets of bytes between nodes.

#include "membership/ByteBudget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace hemlockweir {

static constexpr double bytesPerSecond = 1000;
static constexpr double mostSaved = 500;

RC_GTEST_PROP(ByteBudget, NoSpanOfTimeGetsMoreThanItsRateWhatWasSavedAndOneMessage, (const std::vector<std::pair<uint8_t, uint16_t>>& wishes))
{
    struct Sent {
        Millis at;
        double bytes;
    };
    constexpr double ahead = 100;
    ByteBudget budget(bytesPerSecond, mostSaved);
    std::vector<Sent> sent;
    Millis now { 0 };
    for (const auto& [step, bytes] : wishes) {
        now += Millis(step);
        if (budget.take(bytes, now, ahead))
            sent.push_back({ .at = now, .bytes = static_cast<double>(bytes) });
    }
    for (size_t from = 0; from < sent.size(); ++from) {
        double sum = 0;
        for (size_t to = from; to < sent.size(); ++to) {
            sum += sent[to].bytes;
            const double span = static_cast<double>((sent[to].at - sent[from].at).count());
            RC_ASSERT(sum <= span * bytesPerSecond / 1000 + mostSaved + ahead + sent[to].bytes + 0.001);
        }
    }
}

RC_GTEST_PROP(ByteBudget, MessageLargerThanWhatCanBeSavedPassesInTime, (uint16_t bytes))
{
    ByteBudget budget(bytesPerSecond, mostSaved);
    RC_ASSERT(budget.take(bytes, Millis(0)));
    RC_ASSERT(budget.take(bytes, budget.pause(Millis(0))));
}

RC_GTEST_PROP(ByteBudget, NothingIsOwedAfterThePause, (const std::vector<uint16_t>& spent))
{
    ByteBudget budget(bytesPerSecond, mostSaved);
    const Millis now { 5 };
    for (const uint16_t bytes : spent)
        budget.spend(bytes, now);
    RC_ASSERT(budget.pause(now + budget.pause(now)) == Millis(0));
    RC_ASSERT(budget.take(0, now + budget.pause(now)));
}

} // namespace hemlockweir
