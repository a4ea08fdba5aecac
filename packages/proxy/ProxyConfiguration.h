#pragma once

#include "base/Clock.h"

#include <absl/status/status.h>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// Configuration of the reverse proxy: routes, services, organisations with their keys, and limits. Each version is
// immutable; a new version applies to requests that arrive after it.

namespace hemlockweir {

// How often a request may run.
enum class RequestKind : uint8_t {
    Safe, // may run more than once
    AtMostOnce, // runs once or not at all
    Stream, // the response is an event stream; may be retried only if the stream can be resumed
};

// A service that a route leads to, and its weight among the route's destinations.
struct RouteDestination {
    std::string service;
    uint32_t weight = 1; // relative to the other destinations

    bool operator==(const RouteDestination&) const = default;
};

struct Route {
    std::string name;
    std::string host;
    std::string prefix; // of the path; starts and ends with a slash
    RequestKind kind = RequestKind::AtMostOnce;
    Millis timeout { 0 }; // ms, limit until the response is complete; 0: none
    Millis objective { 0 }; // ms, target until the response, or until the first event of a stream
    Millis gapTarget { 0 }; // ms, longest allowed pause between two events; 0: none
    int priority = 5; // 0 is most urgent
    int maxAttempts = 1; // maximum number of endpoints that may run one request
    bool isPublic = false; // needs no key
    bool canResume = false; // an interrupted stream may be resumed at another endpoint
    std::vector<RouteDestination> destinations; // at least one

    // Returns whether a request that may have run may be sent again.
    bool isRetryable() const { return kind == RequestKind::Safe || (kind == RequestKind::Stream && canResume); }

    bool operator==(const Route&) const = default;
};

// A model whose replicas consist of one or more engines.
struct ReplicaModel {
    std::string name;
    size_t size = 1; // engines per replica
    double workFraction = 1; // expected fraction of the engines' work; only the ratio between models counts
    double timeFactor = 1; // factor on the times in EngineProfile
    Millis loadTime { 0 }; // ms, from the weight store to a host
    Millis warmTime { 0 }; // ms, from the host's copy to the engine

    bool operator==(const ReplicaModel&) const = default;
};

// Properties common to all engines of a service.
struct EngineProfile {
    std::vector<ReplicaModel> models;
    uint32_t slots = 1; // concurrent requests per replica
    double loadsPerSecond = 1; // model loads that may start per second, over all engines
    size_t maxConcurrentLoads = 1; // more concurrent loads slow all of them down
    size_t maxCachedModels = 1; // models that a host caches
    double promptTokensPerMs = 0; // prompt tokens processed per ms at timeFactor 1; 0: unknown
    double stepMs = 0; // ms for a decode step (one token of each request) at timeFactor 1
    double stepMsPerRequest = 0; // additional ms per decode step for each request in the batch
    uint32_t stepsPerEvent = 1; // decode steps between two events of a stream
    uint64_t memoryTokens = 0; // tokens that the memory of a replica holds; 0: unknown
    double spanningTimeFactor = 0; // factor on the times of a replica whose engines are in several fabric domains; 0: unknown

    // Returns the time in ms to process one prompt token; 0 if not configured.
    double promptMsPerToken(const ReplicaModel& model) const;

    // Returns the time in ms between two events of a stream when all slots are in use; 0 if not configured.
    double fullBatchEventIntervalMs(const ReplicaModel& model) const;

    // Returns the engine time in ms that a request takes of a full batch: for its prompt, and for its part of the decode steps.
    double workMs(const ReplicaModel& model, uint32_t promptTokens, uint32_t answerTokens) const;

    // Returns the model with this name; null if there is none.
    const ReplicaModel* findModel(std::string_view name) const;

    bool operator==(const EngineProfile&) const = default;
};

struct EndpointService {
    std::string name;
    std::string healthPath;
    uint32_t maxConnections = 0; // to one endpoint, from all its clients; 0: unknown
    std::optional<EngineProfile> engines; // absent for plain endpoints
    Millis coldTime { 0 }; // ms for which an endpoint is cold after it started during traffic
    double coldPerSecond = 0; // requests from all nodes that a cold endpoint takes; 0: no limit

    // Returns whether its endpoints take fewer requests while they are cold.
    bool limitsColdEndpoints() const { return coldPerSecond > 0 && coldTime > Millis(0); }

    bool operator==(const EndpointService&) const = default;
};

struct Organisation {
    std::string name;
    std::optional<int> priority; // overrides the priority of the route
    std::vector<std::string> keys;

    bool operator==(const Organisation&) const = default;
};

struct CallerLimits {
    size_t headBytes = 16 * 1024; // bytes
    size_t bodyBytes = 4 * 1024 * 1024; // bytes
    Millis headTimeout { 3000 }; // ms
    Millis idleTimeout { 15000 }; // ms

    bool operator==(const CallerLimits&) const = default;
};

struct ProxyConfiguration {
    uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<EndpointService> services;
    std::vector<Organisation> organisations;
    bool requiresKeys = false; // non-public routes require the key of an organisation
    CallerLimits limits;
    std::vector<std::string> ignoredFields; // what was ignored because it makes no sense, with the reason

    const EndpointService* findService(std::string_view name) const;

    // Returns EngineProfile::workMs() of a request; 0 for plain endpoints and unknown models.
    double estimateWorkMs(std::string_view service, std::string_view model, uint32_t promptTokens, uint32_t answerTokens) const;
};

// One version of the configuration, indexed for lookups. Immutable.
class RouteTable {
public:
    explicit RouteTable(ProxyConfiguration configuration);

    const ProxyConfiguration& configuration() const { return configuration_; }

    // Returns the route of the host with the longest prefix that matches the path of the target; null if there is none.
    // A port in `host` is ignored.
    const Route* findRoute(std::string_view host, std::string_view target) const;

    // Returns the organisation that owns the key; null if there is none.
    const Organisation* findOrganisation(std::string_view key) const;

private:
    ProxyConfiguration configuration_;
    std::unordered_map<std::string, std::vector<const Route*>> routesByHost_; // longest prefix first
    std::unordered_map<std::string, const Organisation*> organisationsByKey_;
};

// Returns the service for one request, chosen by weight. `draw` is a uniformly distributed random number.
const std::string& chooseService(const Route& route, uint64_t draw);

} // namespace hemlockweir
