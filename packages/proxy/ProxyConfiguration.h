#pragma once

#include "base/Clock.h"

#include <absl/status/status.h>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// What operators configure for the reverse proxy: routes, the services behind them, organisations
// with their keys, limits. One immutable value a version; a new one is in force for the next request.

namespace hemlockweir {

// What may be repeated.
enum class RequestKind : uint8_t {
    Safe, // may run more than once
    AtMostOnce, // runs once or not at all
    Stream, // an event stream; may be repeated only if it can be resumed
};

// One service that a route leads to, and its part of the route's requests.
struct RouteDestination {
    std::string service;
    uint32_t weight = 1; // relative to the other shares

    bool operator==(const RouteDestination&) const = default;
};

struct Route {
    std::string name;
    std::string host;
    std::string prefix; // begins and ends with a slash
    RequestKind kind = RequestKind::AtMostOnce;
    Millis timeout { 0 }; // ms, longest time until the answer is whole; 0: none
    Millis objective { 0 }; // ms, until the answer, or the first event of a stream
    Millis gapTarget { 0 }; // ms, longest pause between two events; 0: none
    int priority = 5; // 0 is most urgent
    int maxAttempts = 1; // endpoints that may run one request
    bool isPublic = false; // needs no key
    bool canResume = false; // a broken stream may go on at another endpoint
    std::vector<RouteDestination> destinations; // at least one

    // Whether a request that may have run may be sent again.
    bool isRetryable() const { return kind == RequestKind::Safe || (kind == RequestKind::Stream && canResume); }

    bool operator==(const Route&) const = default;
};

// A model whose replicas span several engines.
struct ReplicaModel {
    std::string name;
    size_t size = 1; // engines of one replica
    double workFraction = 1; // part of the engines' work that is for this model
    double timeFactor = 1; // factor on the engine's times
    Millis loadTime { 0 }; // ms, from the weight store to a host
    Millis warmTime { 0 }; // ms, from the host's copy to the engine

    bool operator==(const ReplicaModel&) const = default;
};

// What all engines of a service have in common.
struct EngineProfile {
    std::vector<ReplicaModel> models;
    uint32_t slots = 1; // requests of one replica at a time
    double loadsPerSecond = 1; // loads that may start, over all engines
    size_t maxConcurrentLoads = 1; // loads beyond which all get slower
    size_t maxCachedModels = 1; // models that a host keeps
    double promptTokensPerMs = 0; // read of a prompt in a ms, at pace 1; 0: not known
    double stepMs = 0; // ms a token of each request, at pace 1
    double stepMsPerRequest = 0; // ms more for each request in the batch
    uint32_t stepsPerEvent = 1; // tokens of each request between two events

    // Times of a replica of the model, ms; 0 when the configuration does not say.
    double promptMsPerToken(const ReplicaModel& model) const;
    double fullBatchEventIntervalMs(const ReplicaModel& model) const;

    const ReplicaModel* findModel(std::string_view name) const;

    bool operator==(const EngineProfile&) const = default;
};

struct EndpointService {
    std::string name;
    std::string healthPath;
    uint32_t maxConnections = 0; // of all callers to one endpoint; 0: not known
    std::optional<EngineProfile> engines; // absent: plain endpoints

    bool operator==(const EndpointService&) const = default;
};

struct Organisation {
    std::string name;
    std::optional<int> priority; // goes before the route's
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
    bool requiresKeys = false; // routes that are not public want a key of an organisation
    CallerLimits limits;

    const EndpointService* findService(std::string_view name) const;
};

// One version, indexed for lookups. Immutable.
class RouteTable {
public:
    explicit RouteTable(ProxyConfiguration configuration);

    const ProxyConfiguration& configuration() const { return configuration_; }

    // The route with the longest prefix of the path among those of the host; null without one. A
    // port in the host does not count.
    const Route* findRoute(std::string_view host, std::string_view target) const;

    // The organisation that holds a key; null without one.
    const Organisation* findOrganisation(std::string_view key) const;

private:
    ProxyConfiguration configuration_;
    std::unordered_map<std::string, std::vector<const Route*>> routesByHost_; // longest prefix first
    std::unordered_map<std::string, const Organisation*> organisationsByKey_;
};

// The service for one request; `draw` is any number, spread evenly over requests.
const std::string& chooseService(const Route& route, uint64_t draw);

} // namespace hemlockweir
