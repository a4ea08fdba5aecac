#pragma once

#include "EffectLog.h"
#include "Network.h"

#include "http/HttpClient.h"

#include <QJsonArray>
#include <chrono>
#include <optional>

// One deployment of real processes for the bench: the platform, stand-in engines in groups and
// plain services spread over failure domains, the network between them, and nodes.

namespace hemlockweir {

struct DeploymentOptions {
    std::string name = "kiriamu";
    int domains = 3; // failure domains; nodes are spread over them in turn
    int nodes = 4;
    int groupsPerDomain = 5;
    int members = 4; // engines in a group
    int services = 3; // plain instances of the orders application
    int slots = 4; // requests that a group runs at once
    int tokenMs = 25; // ms for each token
    int prefillMs = 60; // ms before the first token
    int cacheBlocks = 40; // blocks in an engine's prefix cache; a prompt of the bench has 9
    NetworkOptions network; // delays

    int groups() const { return domains * groupsPerDomain; }
};

// The deployment of a name: "kiriamu", "marcacao" or "small". None for an unknown name.
std::optional<DeploymentOptions> findDeployment(const std::string& name);

// The program that the nodes run, and how it schedules.
struct NodeProgram {
    std::string policy = "full";
    QString path = "hemlockweir"; // another build's program to compare with
    std::string label = "full"; // in the table

    bool operator==(const NodeProgram&) const = default;
};

// What the nodes' shared report counts as waste so far.
struct Waste {
    double strandedSeconds = 0; // accelerator-seconds
    double downtimeSeconds = 0; // of groups
};

// Slot-seconds that the nodes counted as idle so far, by cause.
struct IdleTime {
    double notAsked = 0;
    double keptForUrgent = 0;
    double notFound = 0;
};

class Deployment {
public:
    explicit Deployment(DeploymentOptions options);

    // Starts everything but the nodes; false if that takes too long.
    bool start();

    // Runs all nodes with this program; false if they do not see every group in time.
    bool runNodes(const NodeProgram& program);

    // Requests a second that the engines finish when they are always full.
    double capacity() const;

    // Where callers reach the nodes, and whether the balancer sends to one: it notices the death
    // of a node late.
    std::vector<std::string> nodeAddresses();
    bool isInRotation(size_t node) const;

    // Faults. restore() mends all of them and waits until every node sees every group.
    void killEngine(const std::string& engine);
    void killFabric(const std::string& fabric);
    void killNode(const std::string& node);
    void restartKilled();
    void setPlatformDown(bool isDown);
    void partitionDomain(const std::string& domain) { network_.partition(domain); }
    void healDomains() { network_.heal(); }
    bool restore();

    // Figures.
    double nodeCpuSeconds() const;
    Waste readWaste();
    IdleTime readIdleTime();
    EffectLog& effects() { return effects_; }
    const std::vector<EngineExit>& engineExits() const { return engineExits_; }

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
    std::vector<EngineExit> engineExits_;
    std::vector<std::string> killedProcesses_; // processes to start again
    std::map<std::string, std::chrono::steady_clock::time_point> killedAt_; // of nodes
    std::optional<NodeProgram> program_;
    std::map<std::pair<QString, double>, Waste> wasteByIncarnation_; // by node and incarnation, as last read
};

} // namespace hemlockweir
