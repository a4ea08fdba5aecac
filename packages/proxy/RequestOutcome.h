#pragma once

#include "proxy/ProxyContext.h"
#include "proxy/RequestTimes.h"

// The result of a request, for the log and the metrics.

namespace hemlockweir {

struct RequestOutcome {
    std::string requestId;
    std::string organisation; // organisation of the caller; empty: unknown
    std::string route; // empty if no route was found
    int priority = 5;
    std::string end; // "served", "late", "refused", "failed" or "abandoned"
    std::string reason; // empty on success
    RequestTimes times;
    int sends = 0; // number of sends to endpoints
    std::string endpoint; // endpoint that the request was sent to last
    std::optional<uint64_t> configurationVersion; // version in force when the request arrived
    uint64_t numberOnConnection = 1; // position among the requests of the caller's connection
};

// Updates the metrics and writes one log line for the request.
void noteOutcome(ProxyContext& context, const RequestOutcome& outcome);

} // namespace hemlockweir
