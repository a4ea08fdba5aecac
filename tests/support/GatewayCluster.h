#pragma once

#include "support/Cluster.h"

// Gateways as real processes before stand-ins of the users' store and endpoints, with every link between them
// through the fault-injecting proxy.
//
// Four gateways "g1" to "g4" and three failure domains "a", "b" and "c", each with six engines "a1" to "a6" of
// one fabric domain and a plain endpoint "desk-a". Links of the proxy: "front-g1" from callers, "store-g1" from a
// gateway to the store, "to-a1" to an endpoint.

namespace hemlockweir {

// What the operators' configuration of a version holds.
struct SoakConfiguration {
    // The paths that lead to one version only; a version keeps those of the versions before it.
    static constexpr uint64_t retainedVersions = 3;

    uint64_t version = 1;

    // The route by which a caller can tell whether a version is in force.
    static std::string pathOf(uint64_t version) { return "/v" + std::to_string(version) + "/"; }

    QByteArray toJson() const;
};

class GatewayCluster {
public:
    // Starts all processes and writes the first configuration.
    GatewayCluster();

    Cluster& processes() { return cluster_; }

    const std::vector<std::string>& gateways() const { return gateways_; }
    const std::vector<std::string>& engines() const { return engines_; }
    const std::vector<std::string>& plainEndpoints() const { return plainEndpoints_; }
    std::vector<std::string> endpoints() const;

    // The engines of one fabric domain.
    std::vector<std::string> fabricOf(const std::string& engine) const;

    // Puts the next version into the store, which acknowledges it; returns it.
    uint64_t publish();
    uint64_t version() const { return configuration_.version; }

    // Where callers reach a gateway, through the proxy.
    std::string frontOf(const std::string& gateway) { return cluster_.addressOf("front-" + gateway); }

    // Whether a gateway tells the balancer that it takes requests.
    bool isReady(const std::string& gateway);

private:
    void startGateway(const std::string& name, const std::string& domain);
    void startEndpoint(const std::string& name, const std::string& domain, bool isPlain);

    Cluster cluster_;
    std::vector<std::string> gateways_ { "g1", "g2", "g3", "g4" };
    std::vector<std::string> engines_;
    std::vector<std::string> plainEndpoints_;
    SoakConfiguration configuration_;
};

} // namespace hemlockweir
