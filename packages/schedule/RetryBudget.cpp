#include "schedule/RetryBudget.h"

namespace hemlockweir {

void RetryBudget::earn(const std::string& caller)
{
    const auto found = left_.find(caller);
    if (found == left_.end())
        return;
    found->second += perRequest;
    // A full budget needs no row.
    if (found->second >= burst)
        left_.erase(found);
}

bool RetryBudget::take(const std::string& caller)
{
    double& left = left_.try_emplace(caller, burst).first->second;
    if (left < 1)
        return false;
    left -= 1;
    return true;
}

} // namespace hemlockweir
