#pragma once

#include "proxy/ProxyContext.h"
#include "proxy/RequestTimes.h"

// How a request ended, for the log and the metrics.

namespace hemlockweir {

struct RequestOutcome {
    std::string requestId;
    std::string organisation; // of the caller; empty: not known
    std::string route; // empty: none was found
    int priority = 5;
    std::string end; // "served", "late", "refused", "failed" or "abandoned"
    std::string reason; // empty: it went well
    RequestTimes times;
    int sends = 0; // to endpoints
    std::string endpoint; // that it was sent to last
    std::optional<uint64_t> configurationVersion; // in force when it came
};

// Counts the request, and writes one line on it.
void noteOutcome(ProxyContext& context, const RequestOutcome& outcome);

} // namespace hemlockweir
