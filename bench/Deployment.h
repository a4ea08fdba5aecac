#pragma once

#include "http/HttpClient.h"

#include <QJsonArray>
#include <QJsonObject>
#include <QProcess>
#include <QTemporaryDir>
#include <map>
#include <memory>

// One deployment of real processes for the bench: a store, stand-in engines in groups spread over
// failure domains, and nodes. Ends them all when it is destroyed.

namespace hemlockweir {

struct DeploymentOptions {
    int domains = 3;
    int nodes = 4; // spread over the domains in turn
    int groupsPerDomain = 2;
    int members = 2; // engines in a group
    int slots = 4; // requests that a group runs at once
    int tokenMs = 10; // ms for each token
    int prefillMs = 40; // ms before the first token
    std::string policy = "full"; // of the scheduler

    int groups() const { return domains * groupsPerDomain; }
};

class Deployment {
public:
    explicit Deployment(DeploymentOptions options);
    ~Deployment();

    // Starts everything and waits until every node sees every group; false if that takes too long.
    bool start();

    // Requests a second that the engines finish when they are always full.
    double capacity() const;

    std::vector<std::string> nodeAddresses();
    void kill(const std::string& name);

    // Processor time of all nodes so far, in seconds.
    double nodeCpuSeconds() const;

    // How often each thing happened according to an engine's log of effects.
    int countEffects(const QString& what);

    const DeploymentOptions& options() const { return options_; }

private:
    std::string addressOf(const std::string& name);
    void startProcess(const std::string& name, const QString& program, const QStringList& arguments);
    void startEngine(const std::string& id, const std::string& domain, const std::string& fabric);
    void startNode(int number);
    bool waitForGroups();
    bool publish();
    QString writeFile(const std::string& name, const std::string& text);
    CallResult call(const QByteArray& method, const std::string& url, const QByteArray& body = {});

    DeploymentOptions options_;
    QTemporaryDir folder_;
    HttpClient client_;
    int nextPort_ = 20000;
    std::map<std::string, std::string> addresses_;
    std::map<std::string, std::unique_ptr<QProcess>> processes_;
    QJsonArray instances_;
};

} // namespace hemlockweir
