#include "proxy/ForwardedRequest.h"

#include "proxy/ForwardedHeaders.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>

namespace hemlockweir {

static bool isSetByProxy(const ProxyHeaders& names, std::string_view name)
{
    const std::array<std::string_view, 6> replaced { names.deadline, names.key, names.organisation, names.expectEndpoint, names.urgency, "Expect" };
    return std::any_of(replaced.begin(), replaced.end(), [name](std::string_view other) { return isSameHeaderName(name, other); });
}

std::string formatForwardedRequest(const ProxyHeaders& names, const ForwardedRequest& forwarded)
{
    const ServerRequest& request = forwarded.request;
    std::string text = absl::StrCat(request.method, " ", request.target, " HTTP/1.1\r\n");
    for (const HeaderLine& header : removeHopByHopHeaders(names, request.headers)) {
        const bool isOldEvent = forwarded.lastEvent && isSameHeaderName(header.name, names.lastEventId);
        if (!isSetByProxy(names, header.name) && !isOldEvent)
            absl::StrAppend(&text, header.name, ": ", header.value, "\r\n");
    }
    if (forwarded.lastEvent)
        absl::StrAppend(&text, names.lastEventId, ": ", *forwarded.lastEvent, "\r\n");
    absl::StrAppend(&text, names.deadline, ": ", std::max(Millis(1), forwarded.timeLeft).count(), "\r\n");
    absl::StrAppend(&text, names.expectEndpoint, ": ", forwarded.endpoint, "\r\n");
    if (!forwarded.organisation.empty())
        absl::StrAppend(&text, names.organisation, ": ", forwarded.organisation, "\r\n");
    if (forwarded.urgency)
        absl::StrAppend(&text, names.urgency, ": ", std::clamp(*forwarded.urgency, 0, 9), "\r\n");
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT" || request.method == "PATCH")
        absl::StrAppend(&text, "Content-Length: ", request.body.size(), "\r\n");
    return absl::StrCat(text, "\r\n", request.body);
}

} // namespace hemlockweir
