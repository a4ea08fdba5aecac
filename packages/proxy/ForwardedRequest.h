#pragma once

#include "http/ServerConnection.h"
#include "proxy/ProxyContext.h"

// The request that an endpoint gets: the caller's, with the headers that the proxy sets itself.

namespace hemlockweir {

struct ForwardedRequest {
    const ServerRequest& request; // the caller's
    std::string endpoint; // that is meant
    Millis timeLeft { 0 }; // ms, until an answer is of no use
    std::string organisation; // of the caller; empty: none
    std::optional<int> urgency; // towards an engine, 0 is first
    std::optional<uint64_t> lastEvent; // after which a stream goes on; absent: as the caller said
};

// The bytes of the request, its body included.
std::string formatForwardedRequest(const ProxyHeaders& names, const ForwardedRequest& forwarded);

} // namespace hemlockweir
