#pragma once

#include "http/ConnectionPool.h"

#include <absl/status/statusor.h>

// One small call to an HTTP server: a request, a time limit, the whole answer. Nothing is repeated.

namespace hemlockweir {

struct CallAnswer {
    int status = 0;
    std::string body;
};

struct HttpCallOptions {
    std::string address; // IP number
    uint16_t port = 0;
    std::string request; // head and body
    Millis timeout { 1000 }; // ms, until the answer is whole
    bool mayReuse = true; // a kept connection may carry it
};

// Errors: Unavailable when no byte left, Unknown when the server may have acted on the request.
void callServer(boost::asio::io_context& context, ConnectionPool& pool, HttpCallOptions options, std::function<void(absl::StatusOr<CallAnswer>)> done);

} // namespace hemlockweir
