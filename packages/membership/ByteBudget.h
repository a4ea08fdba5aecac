#pragma once

#include "base/Clock.h"

#include <cstddef>

// How many bytes may be sent, so that the mean keeps to a rate. Pure: time is given.

namespace hemlockweir {

class ByteBudget {
public:
    // What was not used is kept up to `mostSaved` bytes.
    ByteBudget(double bytesPerSecond, double mostSaved);

    // Takes the bytes if no more than `ahead` bytes are owed: so messages of any size pass, and what
    // is owed is never more than `ahead` and one message.
    bool take(size_t bytes, Millis now, double ahead = 0);

    // Takes the bytes whether they are there or not.
    void spend(size_t bytes, Millis now);

    // How long until nothing is owed.
    Millis pause(Millis now) const;

private:
    double balanceAt(Millis now) const;

    double bytesPerSecond_;
    double mostSaved_;
    double balance_ = 0; // bytes; negative: owed
    Millis countedAt_ { 0 };
    bool hasStarted_ = false;
};

} // namespace hemlockweir
