#pragma once

#include "http/ServerConnection.h"
#include "proxy/ProxyContext.h"

// The request as sent to an endpoint: the caller's request with the headers that the proxy sets.

namespace hemlockweir {

struct ForwardedRequest {
    const ServerRequest& request; // as received from the caller
    std::string endpoint; // id of the intended endpoint
    Millis timeLeft { 0 }; // ms until the deadline
    std::string organisation; // organisation of the caller; empty: none
    std::optional<int> urgency; // priority at an engine, 0 is most urgent; absent: plain endpoint
    std::optional<uint64_t> lastEvent; // id of the event to resume after; absent: the caller's header is kept
};

// Returns the request as bytes, including its body.
std::string formatForwardedRequest(const ProxyHeaders& names, const ForwardedRequest& forwarded);

} // namespace hemlockweir
