#pragma once

#include "node/ErrorReply.h"
#include "rollout/ConfigTable.h"

#include <optional>

// Reads what every caller's request has in common: who asks, how urgently, and under which key.
//
//   Authorization: Bearer KEY      the caller
//   X-Priority: NAME               a priority class; default: the caller's
//   X-Deadline-Ms: NUMBER          latest useful start, from arrival
//   Idempotency-Key: TEXT          run at most once under this key
//   X-Request-Id: TEXT             for logs; default: made up

namespace hemlockweir {

struct CallerRequest {
    std::string requestId;
    Caller caller;
    PriorityClass priority;
    Millis deadline { 0 }; // ms from arrival to the latest useful start
    QByteArray idempotencyKey; // empty: none
};

// The request, or the error to answer with.
struct CallerRequestResult {
    std::optional<CallerRequest> request;
    ErrorReply error; // meaningful without a request
};

CallerRequestResult readCallerRequest(const Exchange& exchange, const Configuration& configuration, const Random& random);

} // namespace hemlockweir
