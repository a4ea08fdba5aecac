#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

// Clock and random number sources. Decision code receives them as functions, so that tests run it
// without waiting and with reproducible results.

namespace hemlockweir {

using Millis = std::chrono::milliseconds;

// Returns the monotonic time since an arbitrary start; it advances while the process is paused or its instance suspended.
using Clock = std::function<Millis()>;

// Returns 64 uniformly distributed random bits.
using Random = std::function<uint64_t()>;

// Returns a clock that counts the time of a suspended instance, which std::chrono::steady_clock does not: a lease must not
// seem valid after its holder was suspended for longer than it lasts.
Clock makeSteadyClock();

// Returns a thread-safe generator that is seeded from std::random_device.
Random makeSystemRandom();

// Returns a thread-safe generator that produces the same sequence for the same seed.
Random makeSeededRandom(uint64_t seed);

// Returns a random identifier of 16 hexadecimal digits.
std::string makeRandomId(const Random& random);

} // namespace hemlockweir
