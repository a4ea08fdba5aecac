#pragma once

#include "gateway/KvStore.h"
#include "proxy/ProxyContext.h"
#include "replicas/EngineOrder.h"

// What a deployment's platform says and how, as hooks that its adapter fills. Nothing here decides.

namespace hemlockweir {

struct PlatformAdapter {
    KvStore store;
    std::string configurationKey; // of the operators' configuration
    std::string endpointPrefix; // of the list of endpoints
    std::string readyPath; // asked by the platform's balancer
    ProxyHeaders headers;

    std::function<absl::StatusOr<ProxyConfiguration>(const std::string&)> decodeConfiguration;
    std::function<absl::StatusOr<EndpointInfo>(const KvItem&)> decodeEndpoint;
    std::function<std::string(const EngineOrder&)> formatOrder; // an HTTP request
    std::function<OrderResult(int status)> readOrderResult;
    std::function<std::string(const std::string& address, uint16_t port)> formatReportRequest; // an HTTP request
    std::function<std::optional<int64_t>(const std::string& body)> readReportStartedAt; // ms since the epoch, start of the engine that reports
};

} // namespace hemlockweir
