#pragma once

#include "gateway/KvStore.h"
#include "proxy/ProxyContext.h"
#include "replicas/EngineOrder.h"

// Interface to the platform of a deployment: its store, keys, headers and message formats. A deployment's adapter
// fills in the functions. They only translate and make no decisions.

namespace hemlockweir {

struct PlatformAdapter {
    KvStore store;
    std::string configurationKey; // store key of the operators' configuration
    std::string endpointPrefix; // prefix of the store keys of endpoints
    std::string readyPath; // HTTP path of the balancer's readiness check
    ProxyHeaders headers;

    std::function<absl::StatusOr<ProxyConfiguration>(const std::string&)> decodeConfiguration;
    std::function<absl::StatusOr<EndpointInfo>(const KvItem&)> decodeEndpoint;
    std::function<std::string(const EngineOrder&)> formatOrder; // returns an HTTP request
    std::function<OrderResult(int status)> readOrderResult;
    std::function<std::string(const std::string& address, uint16_t port)> formatReportRequest; // returns an HTTP request
    std::function<std::optional<int64_t>(const std::string& body)> readReportStartedAt; // start of the reporting engine, ms since the Unix epoch; absent if the body doesn't contain it
};

} // namespace hemlockweir
