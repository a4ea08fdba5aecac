#pragma once

#include "proxy/ProxyContext.h"

// Header helpers: which headers are forwarded, the load that an endpoint reports, and the size of a prompt.

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

// Returns the prompt tokens from "PROMPT,MAX_RESPONSE" (two token counts); 0 for any other text.
uint32_t parsePromptTokens(std::string_view text);

} // namespace hemlockweir
