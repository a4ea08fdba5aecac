#pragma once

#include "proxy/Placement.h"

// The Retry-After of refused requests. Handles the end of a burst: callers that all come back at the same time would be a
// second one. Performs no I/O.

namespace hemlockweir {

// What the time depends on.
struct RetryOutlook {
    Millis timeLeft { 0 }; // until the deadline of the request
    double backlogMs = 0; // ms, until the queued requests have started; 0: unknown
    double refusedMs = 0; // ms, in which slots become free for the callers that were refused lately; 0: unknown
};

// Bounds of the time. An earlier retry would find the same queue; a later one would miss its objective.
inline constexpr Millis minRetryAfter { 100 };
inline constexpr Millis maxRetryAfter { 2000 };

// Returns the time after which a refused caller may come back: a random one that begins beyond the backlog, or at 15% of the
// time left if that is later, since an overload lasts for seconds. The range is as long as the slots need to serve the callers that
// were refused lately, but a response within the deadline stays possible.
Millis chooseRetryAfter(const RetryOutlook& outlook, const Random& random);

} // namespace hemlockweir
