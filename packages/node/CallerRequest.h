#pragma once

#include "node/ErrorReply.h"
#include "rollout/ConfigTable.h"

#include <optional>

// Reads the headers that all caller requests have in common.
//
//   Authorization: Bearer KEY      the caller
//   X-Priority: NAME               a priority class; default: the caller's default
//   X-Deadline-Ms: NUMBER          latest useful start, in ms from arrival; default: the priority's
//   Idempotency-Key: TEXT          run at most once under this key
//   X-Request-Id: TEXT             for logs; default: a random id

namespace hemlockweir {

struct CallerRequest {
    std::string requestId;
    Caller caller;
    PriorityClass priority;
    Millis deadline { 0 }; // ms from arrival to the latest useful start
    QByteArray idempotencyKey; // empty: none
};

// Either the request or the error to answer with.
struct CallerRequestResult {
    std::optional<CallerRequest> request;
    ErrorReply error; // valid only without a request
};

// Reads the headers and checks them against the configuration.
CallerRequestResult readCallerRequest(const Exchange& exchange, const Configuration& configuration, const Random& random);

} // namespace hemlockweir
