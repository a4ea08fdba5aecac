#pragma once

#include "config/Settings.h"
#include "fleet/FleetManager.h"
#include "fleet/GroupExchange.h"
#include "http/TlsFiles.h"
#include "ledger/SharedWriter.h"
#include "membership/PeerLink.h"
#include "node/CallerApi.h"
#include "node/HomeLink.h"
#include "node/SchedulerExchange.h"
#include "quarantine/SuspectExchange.h"
#include "rollout/ConfigExchange.h"
#include "rollout/ConfigFollower.h"

// One entry node. It owns the components that run on the control thread, the state that the worker
// threads share and the HTTP server, and connects them to each other.

namespace hemlockweir {

class Node : public QObject {
    Q_OBJECT
public:
    explicit Node(Settings settings);
    ~Node() override;

    // Opens the sockets and starts all components. The error names what could not be opened.
    absl::Status start();

    // Begins a planned stop. /readyz fails immediately. The load balancer reacts with a delay, so
    // requests are still served until none has arrived for the quiet time. The node then waits until
    // the last request is answered and, for up to 60 s after the stop began, until no live
    // peer holds a claim that this node granted. The shutdown timeout ends both waits. Afterwards
    // the report is written to the platform and `onStopped` is called.
    void stop(std::function<void()> onStopped);

private:
    void connectComponents();
    void handleMessage(const Envelope& envelope);
    void publishState();
    void pump();
    void pumpEvery(Millis interval);
    void checkStopped();
    bool canStopListening() const;
    bool hasNodeIn(const std::string& domain) const;
    std::vector<std::string> domainsToPlan() const;
    size_t rankFor(const std::string& domain) const;
    bool isEngine(const Instance& instance) const;
    bool shouldObserve(const Instance& instance) const;
    std::vector<std::string> liveNodesIn(const std::string& domain) const;
    size_t rankAmong(std::vector<std::string> candidates, const std::string& role) const;
    bool ownsGroup(const std::string& group) const;
    bool shouldPublish(const GroupCondition& group) const;
    bool isReady() const;
    QJsonObject makeStatus() const;
    Heartbeat makeHeartbeat() const;
    ReportOptions makeReportOptions();
    ConfigServer::Options makeConfigServerOptions();
    PeerServer::Options makePeerServerOptions() const;
    SharedWriter::Options makeSharedWriterOptions();
    ClaimStore makeSharedClaimStore();
    std::string findClaimAggregator() const;
    bool isClaimHeldElsewhere() const;
    ConfigFollower::Options makeFollowerOptions();
    std::vector<ConfigSource> findConfigSources() const;
    void updateGauges();
    absl::Status startTls();
    void checkTlsFiles();

    Settings settings_;
    Clock clock_;
    Random random_;
    uint64_t incarnation_;
    ConfigTable config_;
    FleetTable fleet_;
    Scheduler scheduler_;
    Metrics metrics_;
    KvClient platform_;
    PeerClient peerClient_;
    SharedWriter sharedWriter_;
    ClaimLedger ledger_;
    HomeLedger homeLedger_;
    HomeLink homeLink_;
    ClaimRouter claims_;
    PeerServer peerServer_;
    PeerLink peers_;
    SchedulerExchange schedulerExchange_;
    ConfigServer configServer_;
    ConfigFollower follower_;
    FleetManager manager_;
    GroupExchange groupExchange_;
    Quarantine quarantine_;
    SuspectExchange suspects_;
    NodeContext context_;
    ReportStore report_;
    CallerApi api_;
    TlsFiles tls_;
    std::shared_ptr<MemoryBudget> callerMemory_;
    HttpServer server_;
    QTimer publishTimer_;
    QTimer pumpTimer_;
    QTimer stopTimer_;
    QTimer tlsTimer_;
    Millis nextPublishAt_ { 0 };
    Millis stoppingSince_ { 0 };
    uint64_t loggedMemoryDrops_ = 0;
    uint64_t loggedEvictions_ = 0;
    bool isListening_ = true;
    bool isDrainingClaims_ = false;
    std::function<void()> onStopped_;
};

} // namespace hemlockweir
