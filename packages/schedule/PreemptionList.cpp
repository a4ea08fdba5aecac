#include "schedule/PreemptionList.h"

#include <iterator>

namespace hemlockweir {

// A request that was not answered within this time is no longer pending; the job keeps its slot.
static constexpr Millis preemptionTimeout { 200 };

std::optional<PreemptibleJob> PreemptionList::next(const std::function<bool(uint32_t rank)>& mayPreempt) const
{
    auto end = jobs_.end();
    while (end != jobs_.begin()) {
        const PreemptibleJob& last = *std::prev(end);
        if (last.rank == 0)
            return std::nullopt;
        if (mayPreempt(last.rank))
            return last;
        end = jobs_.lower_bound({ .rank = last.rank });
    }
    return std::nullopt;
}

void PreemptionList::noteSlotReturned()
{
    if (!requestedAt_.empty())
        requestedAt_.pop_front();
}

size_t PreemptionList::pending(Millis now)
{
    while (!requestedAt_.empty() && now - requestedAt_.front() >= preemptionTimeout)
        requestedAt_.pop_front();
    return requestedAt_.size();
}

} // namespace hemlockweir
