#pragma once

#include "ProcessSet.h"

#include <QJsonObject>
#include <functional>
#include <set>
#include <vector>

// The network between failure domains and the platform: one fault-injecting proxy in each failure
// domain, which carries what its nodes dial outside and what other nodes send to them. Callers
// reach the nodes directly: the load generator adds their delay to what it measures, which no
// decision depends on.
//
//   Network network(processes, post, { .domainDelayMs = 1.5, .callerDelayMs = 3 });
//   network.addDomain("a", { "n1" });
//   std::string address = network.linkOut("a", "b1-1");
//   network.start();
//   network.cut("a");

namespace hemlockweir {

struct NetworkOptions {
    double domainDelayMs = 0; // ms one way, between failure domains and to the platform
    double callerDelayMs = 0; // ms one way, between callers and nodes; not the proxies' matter
};

class Network {
public:
    // `post` sends a JSON object to the path /faults of a process.
    using PostFaults = std::function<void(const std::string& process, const QJsonObject& faults)>;

    Network(ProcessSet& processes, PostFaults post, NetworkOptions options);

    // Adds a failure domain with its nodes. All domains come before the first link.
    void addDomain(const std::string& domain, std::vector<std::string> nodes);

    // Address at which the nodes of a domain reach a process outside it.
    std::string linkAddress(const std::string& domain, const std::string& process);

    // Address at which peers reach a node.
    std::string peerAddressOf(const std::string& node);

    // Starts the proxies with all links known by now.
    void start();

    // Cuts the nodes of a domain off from other domains' nodes, endpoints and the platform; the
    // others reach its endpoints no more. Callers still reach its nodes.
    void partition(const std::string& domain);
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

// The failure domain of an endpoint by its name, such as "a" of "a1-3".
std::string domainOfEndpoint(const std::string& name);

} // namespace hemlockweir
