#pragma once

#include "base/Clock.h"

#include <functional>

// Waiting for events: the Qt event loop runs until a condition holds. The limit only ends a test
// that would hang; no test passes or fails by how long something took.

namespace hemlockweir {

inline constexpr Millis hangLimit { 30000 };

// Runs the event loop until the condition holds; false when it does not within the limit.
bool waitUntil(const std::function<bool()>& condition, Millis limit = hangLimit);

} // namespace hemlockweir
