#include "schedule/YieldList.h"

#include <iterator>

namespace hemlockweir {

// A job that was asked to yield and did not in this time keeps its slot.
static constexpr Millis answerTimeout { 200 };

std::optional<Yieldable> YieldList::next(const std::function<bool(uint32_t rank)>& mayLose) const
{
    auto end = jobs_.end();
    while (end != jobs_.begin()) {
        const Yieldable& last = *std::prev(end);
        if (last.rank == 0)
            return std::nullopt;
        if (mayLose(last.rank))
            return last;
        end = jobs_.lower_bound({ .rank = last.rank });
    }
    return std::nullopt;
}

void YieldList::noteYielded()
{
    if (!askedAt_.empty())
        askedAt_.pop_front();
}

size_t YieldList::pending(Millis now)
{
    while (!askedAt_.empty() && now - askedAt_.front() >= answerTimeout)
        askedAt_.pop_front();
    return askedAt_.size();
}

} // namespace hemlockweir
