#include "membership/ByteBudget.h"

#include <algorithm>
#include <cmath>

namespace hemlockweir {

static constexpr double msPerSecond = 1000.0;

ByteBudget::ByteBudget(double bytesPerSecond, double maxSaved)
    : bytesPerSecond_(bytesPerSecond)
    , maxSaved_(maxSaved)
{
}

// A budget starts full.
double ByteBudget::balanceAt(Millis now) const
{
    if (!hasStarted_)
        return maxSaved_;
    const double earned = static_cast<double>((now - updatedAt_).count()) * bytesPerSecond_ / msPerSecond;
    return std::min(maxSaved_, balance_ + earned);
}

bool ByteBudget::tryConsume(size_t bytes, Millis now, double allowedDebt)
{
    if (balanceAt(now) + allowedDebt < 0)
        return false;
    consume(bytes, now);
    return true;
}

void ByteBudget::consume(size_t bytes, Millis now)
{
    balance_ = balanceAt(now) - static_cast<double>(bytes);
    updatedAt_ = now;
    hasStarted_ = true;
}

Millis ByteBudget::timeUntilRepaid(Millis now) const
{
    const double debt = std::max(0.0, -balanceAt(now));
    return Millis(static_cast<int64_t>(std::ceil(debt * msPerSecond / bytesPerSecond_)));
}

} // namespace hemlockweir
