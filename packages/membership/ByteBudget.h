#pragma once

#include "base/Clock.h"

#include <cstddef>

// How many bytes may be sent, so that the mean keeps to a rate. Pure: time is given.

namespace hemlockweir {

class ByteBudget {
public:
    // What was not used is kept up to `maxSaved` bytes.
    ByteBudget(double bytesPerSecond, double maxSaved);

    // Takes the bytes if no more than `allowedDebt` bytes are owed: so messages of any size pass, and what
    // is owed is never more than `allowedDebt` and one message.
    bool tryConsume(size_t bytes, Millis now, double allowedDebt = 0);

    // Takes the bytes whether they are there or not.
    void consume(size_t bytes, Millis now);

    // How long until nothing is owed.
    Millis timeUntilRepaid(Millis now) const;

private:
    double balanceAt(Millis now) const;

    double bytesPerSecond_;
    double maxSaved_;
    double balance_ = 0; // bytes; negative: owed
    Millis updatedAt_ { 0 };
    bool hasStarted_ = false;
};

} // namespace hemlockweir
