#pragma once

#include "config/Settings.h"

#include <limits>

// Settings of a gateway node, from the table [gateway] of its TOML file.

namespace hemlockweir {

// Bounds on what the process holds for its peers. If the machine is unknown too, they are above everything that callers within the
// limits of requests reach.
struct ProcessBounds {
    size_t callerMemory = size_t { 1024 } * 1024 * 1024; // bytes held for callers
    size_t endpointMemory = size_t { 1024 } * 1024 * 1024; // bytes held for endpoints
    size_t callerConnections = std::numeric_limits<size_t>::max(); // open connections of callers
    size_t controlConnections = 1024; // open connections at the control and at the ready address, each
    size_t idleEndpointConnections = std::numeric_limits<size_t>::max(); // connections to endpoints that are kept for reuse
    size_t discardBytes = size_t { 256 } * 1024; // bytes of a refused request that are still read, for each connection

    auto operator<=>(const ProcessBounds&) const = default;
};

struct GatewaySettings {
    // [gateway]
    std::string node; // unique name
    std::string domain; // failure domain
    Endpoint callers; // TCP, requests of callers
    Endpoint ready; // TCP, readiness checks of the balancer
    Endpoint control; // TCP, metrics and requests of other nodes
    Endpoint peers; // UDP, messages of other nodes
    std::vector<Endpoint> seeds; // TCP, control addresses of possible nodes, for a start while the store is unavailable
    bool isFirstStart = false; // first start of the whole system, without traffic before

    // [gateway.platform]
    Endpoint store; // TCP, key-value store
    Millis endpointHeartbeat { 1200 }; // ms between two renewals of an endpoint's entry; three missed ones let it expire

    // [gateway.stop]
    Millis grace { 8000 }; // ms, from SIGTERM to SIGKILL

    // [gateway.retries]
    double retriesPerRequest = 0.2;
    double retryAllowance = 100; // additional retries per window, over all nodes
    Millis retryWindow { 10000 }; // ms

    // [gateway.memory]; what it doesn't name follows from the machine
    ProcessBounds bounds;
};

// Returns whether the text contains gateway settings.
bool hasGatewaySettings(const std::string& text, const std::string& file);

// Parses and validates the settings. Bounds that they don't name are derived from the machine. The error lists every invalid
// setting with file and line.
absl::StatusOr<GatewaySettings> parseGatewaySettings(const std::string& text, const std::string& file, const MachineLimits& machine = {});

} // namespace hemlockweir
