#pragma once

#include "gateway/ConfigurationFollower.h"
#include "gateway/EndpointFollower.h"
#include "gateway/EngineOrders.h"
#include "gateway/GatewaySettings.h"
#include "gateway/PeerSnapshots.h"
#include "gateway/Presence.h"
#include "gateway/UsageExchange.h"
#include "proxy/Proxy.h"
#include "replicas/ReplicaPlanner.h"

// A node that serves before a platform's engines: assembles the proxy, the followers of the platform's
// store, the presence among the other nodes and the planner of replicas. One thread runs it all.

namespace hemlockweir {

class Gateway {
public:
    // `makeAdapter` fills the hooks for the platform of this deployment.
    using MakeAdapter = std::function<PlatformAdapter(boost::asio::io_context&, const GatewaySettings&, const Clock&, DecisionLog&)>;

    Gateway(boost::asio::io_context& context, GatewaySettings settings, const MakeAdapter& makeAdapter);

    absl::Status start();

    // Puts settings that were read again in force, as far as they can change while the node runs: the
    // bounds on retries and the grace. An error leaves all as it is.
    void reload(const absl::StatusOr<GatewaySettings>& settings);

    // Stops as planned: first the balancer is told, then requests at work finish, then onStopped.
    void stop(std::function<void()> onStopped);

private:
    RequestServer::Options controlServerOptions(const Endpoint& endpoint);
    void handleControlRequest(const std::shared_ptr<ServerConnection>& connection, const ServerRequest& request);
    bool isReady() const;

    void applyConfiguration(std::shared_ptr<const RouteTable> routes);
    void applyEndpoints();
    void updateTargets();
    void updateWatchPause();
    void runPlanner();
    void handleRoleChange(bool isPlanner, uint64_t term);
    void handleSuspect(const Target& target, bool isUnresponsive);
    void handlePeerSuspect(uint32_t target);
    void probeUnverified();
    void probeReplica(const std::string& service, const std::string& head);
    void handleOrderResult(const EngineOrder& order, OrderResult result);
    void handleProbeResult(const std::string& engine, bool isAlive);
    void handleConnectionLost(const std::string& endpoint);
    void logReplicas(const std::string& service, const ReplicaPlanner& planner);
    void requestPlan();
    void tick();
    void sweep();
    void checkStop();

    boost::asio::io_context& context_;
    GatewaySettings settings_;
    Clock clock_;
    Random random_;
    DecisionLog log_;
    ProxyMetrics metrics_;
    PlatformAdapter adapter_;
    Dispatcher dispatcher_;
    ConnectionPool pool_;
    RetryWindow retries_;
    CrashList crashes_;
    ProxyContext proxyContext_;
    Proxy proxy_;
    StoreFollower store_;
    ConfigurationFollower configuration_;
    EndpointFollower endpoints_;
    Presence presence_;
    UsageExchange usage_;
    PeerSnapshots snapshots_;
    EngineOrders orders_;
    std::map<std::string, ReplicaPlanner> planners_; // by service
    std::map<std::string, Millis> replicaProbedAt_; // by head
    std::map<std::string, Millis> lostConnectionProbedAt_; // by endpoint on which a request broke
    std::map<std::string, std::string> loggedReplicas_; // last line, by service
    RequestServer readyServer_;
    RequestServer controlServer_;
    RepeatingTimer tickTimer_;
    RepeatingTimer sweepTimer_;
    std::function<void()> onStopped_;
    Millis stopStartedAt_ { 0 };
    bool isStopping_ = false;
    bool isPlanRequested_ = false;
    bool hasStoppedListening_ = false;
};

} // namespace hemlockweir
