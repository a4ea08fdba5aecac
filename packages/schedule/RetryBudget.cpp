#include "schedule/RetryBudget.h"

namespace hemlockweir {

void RetryBudget::credit(const std::string& caller)
{
    const auto found = remaining_.find(caller);
    if (found == remaining_.end())
        return;
    found->second += creditPerRequest;
    // A caller with a full budget needs no entry.
    if (found->second >= maxCredit)
        remaining_.erase(found);
}

bool RetryBudget::tryConsume(const std::string& caller)
{
    double& remaining = remaining_.try_emplace(caller, maxCredit).first->second;
    if (remaining < 1)
        return false;
    remaining -= 1;
    return true;
}

} // namespace hemlockweir
