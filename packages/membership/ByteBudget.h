#pragma once

#include "base/Clock.h"

#include <cstddef>

// Limits the average rate of sent bytes (a token bucket that allows debt). Pure: time is injected.

namespace hemlockweir {

class ByteBudget {
public:
    // Accumulates unused budget up to `maxSaved` bytes.
    ByteBudget(double bytesPerSecond, double maxSaved);

    // Consumes the bytes if the debt is at most `allowedDebt` bytes. So messages of any size can be
    // sent, and the debt never exceeds `allowedDebt` plus one message.
    bool tryConsume(size_t bytes, Millis now, double allowedDebt = 0);

    // Consumes the bytes unconditionally.
    void consume(size_t bytes, Millis now);

    // Returns the time until the debt is repaid.
    Millis timeUntilRepaid(Millis now) const;

private:
    double balanceAt(Millis now) const;

    double bytesPerSecond_;
    double maxSaved_;
    double balance_ = 0; // bytes; negative: debt
    Millis updatedAt_ { 0 };
    bool hasStarted_ = false;
};

} // namespace hemlockweir
