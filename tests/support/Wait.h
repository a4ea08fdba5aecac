#pragma once

#include "base/Clock.h"

#include <functional>

// Waits for events by running the Qt event loop until a condition holds. The limit only ends a test
// that would hang; no test depends on how long something takes.

namespace hemlockweir {

inline constexpr Millis hangLimit { 30000 };

// Runs the event loop until the condition holds. Returns false if it does not hold within the limit.
bool waitUntil(const std::function<bool()>& condition, Millis limit = hangLimit);

} // namespace hemlockweir
