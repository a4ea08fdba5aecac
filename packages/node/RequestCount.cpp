#include "node/RequestCount.h"

namespace hemlockweir {

RequestCount::RequestCount(int limitPerCaller)
    : limitPerCaller_(limitPerCaller)
{
}

bool RequestCount::acquire(const std::string& caller)
{
    std::lock_guard lock(mutex_);
    int& count = byCaller_[caller];
    if (count >= limitPerCaller_)
        return false;
    ++count;
    return true;
}

void RequestCount::release(const std::string& caller)
{
    std::lock_guard lock(mutex_);
    if (--byCaller_[caller] == 0)
        byCaller_.erase(caller);
}

} // namespace hemlockweir
