#include "node/RequestLimiter.h"

namespace hemlockweir {

RequestLimiter::RequestLimiter(int limitPerCaller)
    : limitPerCaller_(limitPerCaller)
{
}

bool RequestLimiter::acquire(const std::string& caller)
{
    std::lock_guard lock(mutex_);
    int& count = byCaller_[caller];
    if (count >= limitPerCaller_)
        return false;
    ++count;
    return true;
}

void RequestLimiter::release(const std::string& caller)
{
    std::lock_guard lock(mutex_);
    if (--byCaller_[caller] == 0)
        byCaller_.erase(caller);
}

} // namespace hemlockweir
