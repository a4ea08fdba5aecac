#pragma once

#include "ProcessSet.h"

#include <QJsonObject>
#include <functional>
#include <set>
#include <vector>

// The network between failure domains and the platform. Each failure domain has one fault-injecting
// proxy, which carries the connections of its nodes to other domains and the messages of other nodes
// to them. Callers connect to the nodes directly; the load generator adds their delay to its
// measurements, because no decision of a node depends on it.
//
//   Network network(processes, post, { .domainDelayMs = 1.5, .callerDelayMs = 3 });
//   network.addDomain("a", { "n1" });
//   std::string address = network.linkAddress("a", "b1-1");
//   network.start();
//   network.partition("a");

namespace hemlockweir {

struct NetworkOptions {
    double domainDelayMs = 0; // ms one way, between failure domains and to the platform
    double callerDelayMs = 0; // ms one way, between callers and nodes; not applied by the proxies
};

class Network {
public:
    // Posts a JSON object to the path /faults of a process.
    using PostFaults = std::function<void(const std::string& process, const QJsonObject& faults)>;

    Network(ProcessSet& processes, PostFaults post, NetworkOptions options);

    // Adds a failure domain with its nodes. Must be called for all domains before linkAddress().
    void addDomain(const std::string& domain, std::vector<std::string> nodes);

    // Returns the address at which the nodes of `domain` reach `process`. If the process is outside the
    // domain, adds a proxy link to it.
    std::string linkAddress(const std::string& domain, const std::string& process);

    // Returns the address at which peers reach a node.
    std::string peerAddressOf(const std::string& node);

    // Starts the proxies with all links added so far.
    void start();

    // Disconnects the nodes of a domain from the nodes and endpoints of other domains and from the
    // platform, and the nodes of other domains from its endpoints. Callers still reach its nodes.
    void partition(const std::string& domain);
    // Ends all partitions.
    void heal();

private:
    struct Link {
        std::string name;
        std::string target; // name of a process
        std::string targetDomain; // empty: the platform or a node
        bool isUdp = false;
        double delayMs = 0;
    };
    struct Domain {
        std::vector<std::string> nodes;
        std::vector<Link> links;
    };

    std::string proxyNameOf(const std::string& domain) const { return "proxy-" + domain; }
    void setDelays(const std::string& domain);
    void setPartitioned(const std::string& domain, bool isPartitioned);

    ProcessSet& processes_;
    PostFaults post_;
    NetworkOptions options_;
    std::map<std::string, Domain> domains_;
    std::set<std::string> partitionedDomains_;
};

// Returns the failure domain of an endpoint from its name, such as "a" for "a1-3".
std::string domainOfEndpoint(const std::string& name);

} // namespace hemlockweir
