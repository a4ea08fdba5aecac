// Sums of callers' use between failure domains.

#include "node/CallerSums.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace hemlockweir {

static DomainUse makeSum(uint64_t tokens)
{
    return { .domain = "b", .callers = { { .model = "m", .rank = 0, .caller = "c", .tokens = static_cast<float>(tokens) } } };
}

// Losses, doubles and any order of what two starts of a node said.
RC_GTEST_PROP(CallerSums, HoldsTheNewestOfItsSenderAndNothingBeyondItsLifetime, (const std::vector<std::pair<bool, uint8_t>>& deliveries, uint16_t wait))
{
    CallerSums sums({ .domain = "a" });
    const Millis now { 100 };
    std::optional<Sender> held;
    for (const auto& [isSecond, sequence] : deliveries) {
        const Sender sender { .node = "b1", .incarnation = isSecond ? 2U : 1U, .sequence = sequence };
        const bool isOld = held && held->incarnation == sender.incarnation && sequence <= held->sequence;
        RC_ASSERT(sums.take(makeSum(sequence), sender, now) == !isOld);
        if (!isOld)
            held = sender;
    }
    const Millis later = now + Millis(wait);
    const bool counts = held && Millis(wait) <= CallerSums::Options().lifetime;
    RC_ASSERT(sums.covers("b", later) == counts);
    RC_ASSERT(sums.current(later) == (counts ? std::vector<DomainUse> { makeSum(held->sequence) } : std::vector<DomainUse> {}));
}

// However often nodes say it, each counts once, and one that is dropped does not.
RC_GTEST_PROP(CallerSums, AddsUpEachNodeOfTheDomainOnce, (const std::vector<std::pair<uint8_t, uint8_t>>& messages, uint8_t dropped))
{
    CallerSums sums({ .domain = "a" });
    std::map<uint8_t, uint8_t> last;
    for (const auto& [node, tokens] : messages) {
        sums.noteNode(std::to_string(node), makeSum(tokens).callers, Millis(0));
        last[node] = tokens;
    }
    sums.dropNode(std::to_string(dropped));
    last.erase(dropped);
    float expected = 7;
    for (const auto& [node, tokens] : last)
        expected += static_cast<float>(tokens);
    const DomainUse sum = sums.make(makeSum(7).callers, Millis(1));
    RC_ASSERT(sum.callers.size() == 1u);
    RC_ASSERT(sum.callers.front().tokens == expected);
    RC_ASSERT(!CallerSums({ .domain = "a" }).take(sum, { .node = "a1" }, Millis(1)));
}

} // namespace hemlockweir
