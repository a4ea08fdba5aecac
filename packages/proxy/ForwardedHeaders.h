#pragma once

#include "http/ClientConnection.h"

// What headers say: which go on to the other side, and an endpoint's own word on its load.

namespace hemlockweir {

// The headers without those that concern one connection only (RFC 9110, 7.6.1), by their names or
// because the Connection header lists them. The length goes too: who forwards a body states it anew.
std::vector<HeaderLine> dropConnectionHeaders(const std::vector<HeaderLine>& headers);

// Requests that an endpoint runs and that wait in it, of all nodes.
struct EndpointLoad {
    uint32_t running = 0;
    uint32_t waiting = 0;

    auto operator<=>(const EndpointLoad&) const = default;
};

// Reads "RUNNING,WAITING,SLOTS"; nullopt for anything else.
std::optional<EndpointLoad> parseLoad(std::string_view text);

// Tokens of the prompt in "PROMPT,MOST_OF_THE_ANSWER"; 0 for anything else.
uint32_t parsePromptTokens(std::string_view text);

} // namespace hemlockweir
