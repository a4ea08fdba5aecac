#pragma once

#include "EffectLog.h"
#include "Network.h"

#include "http/HttpClient.h"

#include <QJsonArray>
#include <chrono>
#include <optional>

// A deployment of real processes for the benchmark: the platform, stand-in engines in groups and
// plain services in several failure domains, the network between them, and the nodes under test.

namespace hemlockweir {

struct DeploymentOptions {
    std::string name = "kiriamu";
    int domains = 3; // failure domains; nodes are assigned to them round-robin
    int nodes = 4;
    int groupsPerDomain = 5;
    int members = 4; // engines per group
    int services = 3; // plain instances of the orders application
    int slots = 4; // concurrent requests per group
    int tokenMs = 25; // ms per token
    int prefillMs = 60; // ms before the first token
    int cacheBlocks = 40; // blocks in an engine's prefix cache; a benchmark prompt takes 9
    NetworkOptions network; // delays

    int groups() const { return domains * groupsPerDomain; }
};

// Returns the deployment named "kiriamu", "marcacao" or "small", or nullopt for an unknown name.
std::optional<DeploymentOptions> findDeployment(const std::string& name);

// The program that the nodes run, and its scheduling policy.
struct NodeProgram {
    std::string policy = "full";
    QString path = "hemlockweir"; // may be another build's program, for a comparison
    std::string label = "full"; // shown in the table

    bool operator==(const NodeProgram&) const = default;
};

// Total waste so far, from the usage report that the nodes share.
struct Waste {
    double strandedSeconds = 0; // accelerator-seconds
    double downtimeSeconds = 0; // group-seconds
};

// Idle slot-seconds that the nodes have counted so far, by cause.
struct IdleTime {
    double notAsked = 0;
    double keptForUrgent = 0;
    double notFound = 0;
};

class Deployment {
public:
    explicit Deployment(DeploymentOptions options);

    // Starts all processes except the nodes. Returns false on a timeout.
    bool start();

    // Restarts all nodes with this program, unless they run it already. Returns false if they don't
    // report every group as whole in time.
    bool runNodes(const NodeProgram& program);

    // Returns the requests per second that the engines complete when every slot is in use.
    double capacity() const;

    // Returns the addresses of the nodes for callers.
    std::vector<std::string> nodeAddresses();
    // Returns whether the load balancer sends requests to a node. It detects a killed node late.
    bool isInRotation(size_t node) const;

    // Fault injection. restore() undoes all faults and waits until every node reports every group as whole.
    void killEngine(const std::string& engine);
    void killFabric(const std::string& fabric);
    void killNode(const std::string& node);
    void restartKilled();
    void setPlatformDown(bool isDown);
    void partitionDomain(const std::string& domain) { network_.partition(domain); }
    void healDomains() { network_.heal(); }
    bool restore();

    // Measurements.
    double nodeCpuSeconds() const;
    Waste readWaste();
    IdleTime readIdleTime();
    EffectLog& effects() { return effects_; }
    const std::vector<EngineKill>& engineKills() const { return engineKills_; }

    const DeploymentOptions& options() const { return options_; }

private:
    std::string domainOfNode(const std::string& node) const;
    void startPlatform();
    void startEndpoint(const std::string& id, const std::string& fabric, const std::string& pool, const QString& program, const QStringList& arguments);
    void startEngines(const std::string& domain);
    bool publishInstances();
    void startNode(const std::string& node, const NodeProgram& program);
    bool waitForGroups();
    size_t countWholeGroups(const std::string& node);
    bool publishConfiguration();
    void postFaults(const std::string& process, const QJsonObject& faults);
    CallResult call(const QByteArray& method, const std::string& url, const QByteArray& body = {});

    DeploymentOptions options_;
    ProcessSet processes_;
    HttpClient client_;
    Network network_;
    std::vector<std::string> domains_;
    std::vector<std::string> nodes_;
    std::map<std::string, std::vector<std::string>> enginesByFabric_;
    QJsonArray instances_;
    EffectLog effects_;
    std::vector<EngineKill> engineKills_;
    std::vector<std::string> killedProcesses_; // to restart
    std::map<std::string, std::chrono::steady_clock::time_point> killedAt_; // by node
    std::optional<NodeProgram> program_;
    std::map<std::pair<QString, double>, Waste> wasteByIncarnation_; // by node and incarnation, largest figures read
};

} // namespace hemlockweir
