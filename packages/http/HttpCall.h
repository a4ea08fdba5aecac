#pragma once

#include "http/ConnectionPool.h"

#include <absl/status/statusor.h>

// Sends one request to an HTTP server and collects the whole answer in memory, within a timeout. There are no
// retries.

namespace hemlockweir {

struct CallAnswer {
    int status = 0;
    std::vector<HeaderLine> headers;
    std::string body;
};

struct HttpCallOptions {
    std::string address; // IP address
    uint16_t port = 0;
    std::string request; // serialized, head and body
    Millis timeout { 1000 }; // ms, until the answer is complete
    size_t maxBodyBytes = 1024 * 1024; // bytes of the answer; a server in trouble may send a body without end
    bool mayReuse = true; // the request may use an idle connection of the pool
    std::function<bool()> maySend; // asked when the request is about to be written; empty: it always may
};

// Starts a call. `done` receives the answer or an error: Unavailable when no byte was sent, Cancelled when none was
// because of `maySend`, Unknown when the server may have executed the request.
void callServer(boost::asio::io_context& context, ConnectionPool& pool, HttpCallOptions options, std::function<void(absl::StatusOr<CallAnswer>)> done);

} // namespace hemlockweir
