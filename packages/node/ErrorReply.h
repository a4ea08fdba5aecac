#pragma once

#include "http/HttpServer.h"

#include <string>

// Error answers to callers: JSON that states whether the request ran.
//
//   {"error":{"message":"...","type":"overloaded","outcome":"not_run","request_id":"..."}}

namespace hemlockweir {

// Whether a request that failed ran.
enum class Outcome {
    NotRun, // certainly did not run; the caller may safely retry
    Ran, // ran; the answer is lost or was sent before
    Unknown, // may have run
};

struct ErrorReply {
    int status = 500; // HTTP status
    std::string type; // short name, for programs
    std::string message; // for people
    Outcome outcome = Outcome::NotRun;
    std::string requestId;
    Millis retryAfter { 0 }; // 0: no Retry-After header
};

// Returns the name of an outcome in JSON.
std::string outcomeName(Outcome outcome);

// Returns the JSON of an error.
QJsonObject formatError(const ErrorReply& error);

// Sends an error instead of an answer, or as the last event of a started stream.
void sendError(Exchange& exchange, const ErrorReply& error);

} // namespace hemlockweir
