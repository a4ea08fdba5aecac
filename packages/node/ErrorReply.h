#pragma once

#include "http/HttpServer.h"

#include <string>

// Errors as callers see them: JSON that says whether the request ran.
//
//   {"error":{"message":"...","type":"overloaded","outcome":"not_run","request_id":"..."}}

namespace hemlockweir {

// What is known of a request that gets no proper answer.
enum class Outcome {
    NotRun, // certainly not run; it may be sent again
    Ran, // it ran; the answer is lost or was given before
    Unknown, // it may have run
};

struct ErrorReply {
    int status = 500; // HTTP status
    std::string type; // short name for programs
    std::string message; // for people
    Outcome outcome = Outcome::NotRun;
    std::string requestId;
    Millis retryAfter { 0 }; // 0: not said
};

// Returns the name of an outcome as it stands in JSON.
std::string outcomeName(Outcome outcome);

// Returns the JSON of an error.
QJsonObject formatError(const ErrorReply& error);

// Sends an error in place of an answer, or as the last event of a stream that has begun.
void sendError(Exchange& exchange, const ErrorReply& error);

} // namespace hemlockweir
