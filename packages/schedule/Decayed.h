#pragma once

#include "base/Clock.h"

#include <algorithm>
#include <cmath>

// Sums, levels and averages in which older values have less weight.

namespace hemlockweir {

// A sum that decays exponentially with a time constant.
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

    // Returns the recent rate in amount per ms.
    double ratePerMs(Millis now) const { return at(now) / static_cast<double>(timeConstant_.count()); }

private:
    Millis timeConstant_;
    Millis updatedAt_ { 0 };
    double value_ = 0;
};

// A level that follows a rise immediately and a fall exponentially, so that short dips have little effect.
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

// An exponentially weighted moving average of samples, and of their absolute deviation.
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

    // Returns the average plus the deviation, an upper estimate that most samples are below.
    double upperOr(double fallback) const { return isKnown_ ? value_ + deviation_ : fallback; }

private:
    double value_ = 0;
    double deviation_ = 0;
    bool isKnown_ = false;
};

} // namespace hemlockweir
