#pragma once

#include "config/Settings.h"

// The settings of a node that serves before a platform's engines, from the table [gateway] of its
// TOML file.

namespace hemlockweir {

struct GatewaySettings {
    // [gateway]
    std::string node; // unique name
    std::string domain; // failure domain
    Endpoint callers; // TCP, requests
    Endpoint ready; // TCP, the balancer's question
    Endpoint control; // TCP, metrics
    Endpoint peers; // UDP, other nodes
    std::vector<Endpoint> seeds; // TCP, control addresses of nodes that may live, for a start while the store is away
    bool isFirstStart = false; // the whole system starts for the first time

    // [gateway.platform]
    Endpoint store; // key-value store

    // [gateway.stop]
    Millis grace { 8000 }; // ms, from SIGTERM to SIGKILL

    // [gateway.retries]
    double retriesPerRequest = 0.2;
    double retryAllowance = 100; // in a window, over all nodes
    Millis retryWindow { 10000 }; // ms
};

// Whether the text holds the settings of a gateway.
bool hasGatewaySettings(const std::string& text, const std::string& file);

// Reads and checks the settings; the error lists every mistake with file and line.
absl::StatusOr<GatewaySettings> parseGatewaySettings(const std::string& text, const std::string& file);

} // namespace hemlockweir
