#include "membership/ByteBudget.h"

#include <algorithm>
#include <cmath>

namespace hemlockweir {

static constexpr double msPerSecond = 1000.0;

ByteBudget::ByteBudget(double bytesPerSecond, double mostSaved)
    : bytesPerSecond_(bytesPerSecond)
    , mostSaved_(mostSaved)
{
}

// A node that just started has saved all that it may.
double ByteBudget::balanceAt(Millis now) const
{
    if (!hasStarted_)
        return mostSaved_;
    const double earned = static_cast<double>((now - countedAt_).count()) * bytesPerSecond_ / msPerSecond;
    return std::min(mostSaved_, balance_ + earned);
}

bool ByteBudget::take(size_t bytes, Millis now, double ahead)
{
    if (balanceAt(now) + ahead < 0)
        return false;
    spend(bytes, now);
    return true;
}

void ByteBudget::spend(size_t bytes, Millis now)
{
    balance_ = balanceAt(now) - static_cast<double>(bytes);
    countedAt_ = now;
    hasStarted_ = true;
}

Millis ByteBudget::pause(Millis now) const
{
    const double owed = std::max(0.0, -balanceAt(now));
    return Millis(static_cast<int64_t>(std::ceil(owed * msPerSecond / bytesPerSecond_)));
}

} // namespace hemlockweir
