#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

// Time and randomness reach the decision code through hooks, so that a test can run it
// without waiting and with the same outcome each time.

namespace hemlockweir {

using Millis = std::chrono::milliseconds;

// Returns the monotonic time since an arbitrary start; it goes on while the process is paused.
using Clock = std::function<Millis()>;

// Returns 64 uniformly distributed random bits.
using Random = std::function<uint64_t()>;

// Returns the clock of this machine.
Clock makeSteadyClock();

// Returns a generator seeded from the system.
Random makeSystemRandom();

// Returns a generator that repeats the same sequence for the same seed.
Random makeSeededRandom(uint64_t seed);

// Returns a random identifier of 16 hexadecimal digits.
std::string makeRandomId(const Random& random);

} // namespace hemlockweir
