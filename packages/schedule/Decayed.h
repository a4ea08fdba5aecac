#pragma once

#include "base/Clock.h"

#include <algorithm>
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

// A level that follows a rise at once and a fall slowly, so that a gap of a moment does not show.
class DecayingPeak {
public:
    explicit DecayingPeak(Millis timeConstant)
        : timeConstant_(timeConstant)
    {
    }

    void set(double value, Millis now)
    {
        value_ = std::max(value, at(now));
        current_ = value;
        updatedAt_ = now;
    }

    double at(Millis now) const { return current_ + (value_ - current_) * std::exp(-static_cast<double>((now - updatedAt_).count()) / static_cast<double>(timeConstant_.count())); }

private:
    Millis timeConstant_;
    Millis updatedAt_ { 0 };
    double value_ = 0;
    double current_ = 0;
};

// An exponentially weighted average of samples, and of how far they lie from it.
class MovingAverage {
public:
    void add(double sample)
    {
        constexpr double newWeight = 0.1;
        const double difference = isKnown_ ? sample - value_ : 0;
        value_ = isKnown_ ? value_ + newWeight * difference : sample;
        deviation_ += newWeight * (std::abs(difference) - deviation_);
        isKnown_ = true;
    }

    bool isKnown() const { return isKnown_; }
    double valueOr(double fallback) const { return isKnown_ ? value_ : fallback; }

    // The average and its deviation: most samples are below.
    double upperOr(double fallback) const { return isKnown_ ? value_ + deviation_ : fallback; }

private:
    double value_ = 0;
    double deviation_ = 0;
    bool isKnown_ = false;
};

} // namespace hemlockweir
