#pragma once

#include "proxy/ProxyContext.h"

// Header helpers: which headers are forwarded, the load that an endpoint reports, and the sizes of a
// model request.

namespace hemlockweir {

// Returns the headers without hop-by-hop headers (RFC 9110, 7.6.1), whether well-known or listed in the Connection
// header. Content-Length is removed too: whoever forwards the body sets it again. Headers that the proxy or the endpoint
// acts on are kept even if the Connection header lists them.
std::vector<HeaderLine> removeHopByHopHeaders(const ProxyHeaders& names, const std::vector<HeaderLine>& headers);

// Running and queued requests at an endpoint, from all nodes.
struct EndpointLoad {
    uint32_t running = 0;
    uint32_t waiting = 0;

    auto operator<=>(const EndpointLoad&) const = default;
};

// Parses "RUNNING,WAITING,SLOTS"; returns nullopt for any other text.
std::optional<EndpointLoad> parseLoad(std::string_view text);

// Sizes of a model request as its caller declared them.
struct TokenCounts {
    uint32_t prompt = 0; // tokens; 0: unknown
    uint32_t maxAnswer = 0; // tokens, limit of the answer; 0: unknown

    auto operator<=>(const TokenCounts&) const = default;
};

// Parses "PROMPT,MAX_ANSWER". A count that is missing or no number is unknown.
TokenCounts parseTokenCounts(std::string_view text);

} // namespace hemlockweir
