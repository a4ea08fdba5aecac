#pragma once

#include "gateway/KvStore.h"
#include "proxy/EndpointEntry.h"
#include "proxy/ProxyContext.h"
#include "replicas/EngineOrder.h"

// Interface to the platform of a deployment: its store, keys, headers and message formats. A deployment's adapter
// fills in the functions. They only translate and make no decisions.

namespace hemlockweir {

// What an engine says of its replica.
struct MembershipReport {
    std::optional<Membership> membership; // absent: the engine is in no replica

    bool operator==(const MembershipReport&) const = default;
};

// What an engine reports when it is asked.
struct EngineReport {
    std::optional<int64_t> startedAtMs; // ms since the Unix epoch
    std::optional<MembershipReport> replica; // absent: the report tells nothing of it

    bool operator==(const EngineReport&) const = default;
};

struct PlatformAdapter {
    KvStore store;
    std::string configurationKey; // store key of the operators' configuration
    std::string endpointPrefix; // prefix of the store keys of endpoints
    std::string evacuationPrefix; // prefix of the store keys that evacuate a failure domain; empty: the platform has no evacuations
    std::string readyPath; // HTTP path of the balancer's readiness check
    ProxyHeaders headers;

    std::function<absl::StatusOr<ProxyConfiguration>(const std::string&)> decodeConfiguration;
    std::function<absl::StatusOr<EndpointEntry>(const KvItem&)> decodeEndpoint;
    std::function<absl::StatusOr<std::string>(const std::string& key)> decodeEvacuation; // returns the failure domain that a key evacuates
    std::function<std::string(const EngineOrder&)> formatOrder; // returns an HTTP request
    std::function<OrderResult(int status)> readOrderResult;
    std::function<std::string(const std::string& address, uint16_t port)> formatReportRequest; // returns an HTTP request
    std::function<EngineReport(const std::string& body)> readReport; // what the body doesn't tell is absent
};

} // namespace hemlockweir
