#include "proxy/ForwardedHeaders.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <array>

namespace hemlockweir {

static bool isHopByHopHeader(std::string_view name)
{
    constexpr std::array<std::string_view, 10> names { "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
        "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length" };
    return std::any_of(names.begin(), names.end(), [name](std::string_view other) { return isSameHeaderName(name, other); });
}

static bool isEndToEndHeader(const ProxyHeaders& names, std::string_view name)
{
    const std::array<std::string_view, 15> kept { names.requestId, names.deadline, names.key, names.organisation, names.expectEndpoint, names.seal, names.load,
        names.notRun, names.leaving, names.faultyEndpoint, names.model, names.tokenCounts, names.promptPrefix, names.urgency, names.lastEventId };
    return std::any_of(kept.begin(), kept.end(), [name](std::string_view other) { return isSameHeaderName(name, other); });
}

// Returns whether the Connection header lists the name as a hop-by-hop header.
static bool isListedInConnectionHeader(const std::vector<HeaderLine>& headers, std::string_view name)
{
    for (const HeaderLine& header : headers) {
        if (!isSameHeaderName(header.name, "Connection"))
            continue;
        for (const std::string& token : std::vector<std::string>(absl::StrSplit(header.value, absl::ByAnyChar(", \t"), absl::SkipEmpty()))) {
            if (isSameHeaderName(token, name))
                return true;
        }
    }
    return false;
}

std::vector<HeaderLine> removeHopByHopHeaders(const ProxyHeaders& names, const std::vector<HeaderLine>& headers)
{
    std::vector<HeaderLine> forwardable;
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(forwardable), [&](const HeaderLine& header) {
        return !isHopByHopHeader(header.name) && (isEndToEndHeader(names, header.name) || !isListedInConnectionHeader(headers, header.name));
    });
    return forwardable;
}

std::optional<EndpointLoad> parseLoad(std::string_view text)
{
    const std::vector<std::string> parts = absl::StrSplit(std::string(text), ',');
    EndpointLoad load;
    if (parts.size() != 3 || !absl::SimpleAtoi(parts[0], &load.running) || !absl::SimpleAtoi(parts[1], &load.waiting))
        return std::nullopt;
    return load;
}

TokenCounts parseTokenCounts(std::string_view text)
{
    const std::vector<std::string> parts = absl::StrSplit(std::string(text), absl::MaxSplits(',', 1));
    const auto parseCount = [](const std::string& part) {
        uint32_t count = 0;
        return absl::SimpleAtoi(part, &count) ? count : 0;
    };
    if (parts.size() != 2)
        return {};
    return { .prompt = parseCount(parts[0]), .maxAnswer = parseCount(parts[1]) };
}

} // namespace hemlockweir
