#pragma once

#include "proxy/EndpointInfo.h"
#include "proxy/ProxyConfiguration.h"

#include <map>

// Targets of requests: plain endpoints, and the heads (rank 0) of replicas that serve a model.

namespace hemlockweir {

struct Target {
    std::string id; // endpoint id
    std::string service;
    std::string model; // model that the replica serves; empty for plain endpoints
    std::string address; // IP address
    uint16_t port = 0;
    int64_t startedAtMs = 0; // start of the endpoint's process, ms since the Unix epoch: its incarnation
    std::string domain; // failure domain
    uint32_t slots = 1; // concurrent requests
    double promptMsPerToken = 0; // ms to process a prompt token; 0: prompts cost no time
    double eventIntervalMs = 0; // ms between two events of each stream in a full batch; 0: unknown
    uint64_t memoryTokens = 0; // tokens that its memory holds; 0: unknown
    double timeFactor = 1; // factor on the times of the model: above 1 if the replica spans fabric domains
    double coldPerSecond = 0; // requests from all nodes that it takes while it is cold; 0: no limit
    Millis maxColdTime { 0 }; // ms for which it is cold at most, from when it says so
    Millis coldUntil { 0 }; // when it has ceased to be cold, as its entry says

    // Returns whether the replica spans fabric domains: it is slower than others of its model.
    bool isSpanning() const { return timeFactor > 1; }

    // Returns the time in ms to process a prompt.
    double promptMs(uint32_t tokens) const { return promptMsPerToken * tokens; }

    // Returns whether its memory holds a prompt of this length.
    bool holdsPrompt(uint32_t tokens) const { return memoryTokens == 0 || tokens <= memoryTokens; }

    bool operator==(const Target&) const = default;

    // Returns whether both describe the same endpoint with the same model, so that its known load stays valid.
    bool isSameTarget(const Target& other) const { return id == other.id && address == other.address && port == other.port && startedAtMs == other.startedAtMs && model == other.model; }
};

// Returns the targets among the endpoints of a service: the endpoints that are neither leaving nor evacuated, and for a
// service with engines only the open heads that have a model and no evacuated member.
std::vector<Target> findTargets(const std::vector<EndpointInfo>& endpoints, const EndpointService& service);

} // namespace hemlockweir
