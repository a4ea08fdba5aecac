#pragma once

#include "base/Clock.h"

#include <cmath>

// Numbers that forget: sums and averages whose past loses weight with time.

namespace hemlockweir {

// A sum that halves its past again and again.
class DecayedSum {
public:
    explicit DecayedSum(Millis timeConstant)
        : timeConstant_(timeConstant)
    {
    }

    void add(double amount, Millis now)
    {
        value_ = at(now) + amount;
        updatedAt_ = now;
    }

    double at(Millis now) const { return value_ * std::exp(-static_cast<double>((now - updatedAt_).count()) / static_cast<double>(timeConstant_.count())); }

    // Amount added each millisecond, lately.
    double ratePerMs(Millis now) const { return at(now) / static_cast<double>(timeConstant_.count()); }

private:
    Millis timeConstant_;
    Millis updatedAt_ { 0 };
    double value_ = 0;
};

// An exponentially weighted average of samples.
class Average {
public:
    void add(double sample)
    {
        constexpr double newWeight = 0.1;
        value_ = isKnown_ ? value_ + newWeight * (sample - value_) : sample;
        isKnown_ = true;
    }

    bool isKnown() const { return isKnown_; }
    double valueOr(double fallback) const { return isKnown_ ? value_ : fallback; }

private:
    double value_ = 0;
    bool isKnown_ = false;
};

} // namespace hemlockweir
