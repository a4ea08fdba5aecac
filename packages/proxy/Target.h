#pragma once

#include "proxy/EndpointInfo.h"
#include "proxy/ProxyConfiguration.h"

#include <map>

// Where requests can be sent: plain endpoints, and the heads of whole replicas.

namespace hemlockweir {

struct Target {
    std::string id; // of the endpoint
    std::string service;
    std::string model; // that the replica serves; empty: a plain endpoint
    std::string address; // IP number
    uint16_t port = 0;
    std::string domain; // failure domain
    uint32_t slots = 1; // requests at a time
    double promptMsPerToken = 0; // ms; 0: it reads no prompts
    double eventIntervalMs = 0; // ms, between two events of each stream in a full batch; 0: not known

    // The time it takes to read a prompt, ms.
    double promptMs(uint32_t tokens) const { return promptMsPerToken * tokens; }

    bool isSameReplica(const Target& other) const { return id == other.id && address == other.address && port == other.port && model == other.model; }
};

// The targets among the endpoints of a service: those that are not leaving, and of engines the heads
// that are open.
std::vector<Target> findTargets(const std::vector<EndpointInfo>& endpoints, const EndpointService& service);

} // namespace hemlockweir
