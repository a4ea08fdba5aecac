#pragma once

#include "gateway/ConfigurationFollower.h"
#include "gateway/EndpointFollower.h"
#include "gateway/EngineOrders.h"
#include "gateway/EvacuatedDomains.h"
#include "gateway/GatewaySettings.h"
#include "gateway/PeerSnapshots.h"
#include "gateway/Presence.h"
#include "gateway/StoredBlocks.h"
#include "gateway/UsageExchange.h"
#include "proxy/Proxy.h"
#include "replicas/ReplicaPlanner.h"

// A node that proxies requests to the endpoints of a platform. Connects the proxy, the followers of the platform's
// store, the node's presence, the exchange with other nodes and the replica planners. Everything runs on the thread
// of the event loop.

namespace hemlockweir {

class Gateway {
public:
    // Creates the adapter for the platform of this deployment.
    using MakeAdapter = std::function<PlatformAdapter(boost::asio::io_context&, const GatewaySettings&, const Clock&, DecisionLog&)>;

    Gateway(boost::asio::io_context& context, GatewaySettings settings, const MakeAdapter& makeAdapter);

    // Starts to listen and to follow the store. Returns the error of the first address that can't be bound.
    absl::Status start();

    // Applies reloaded settings as far as they can change at run time: the retry limits and the shutdown grace
    // period. An error changes nothing.
    void reload(const absl::StatusOr<GatewaySettings>& settings);

    // Logs an exception that a handler of the event loop threw.
    void noteUnexpectedError(const std::string& error);

    // Shuts down gracefully: readiness checks fail from now on, new requests are accepted until the balancer has
    // removed the node, running requests finish, and then `onStopped` is called.
    void stop(std::function<void()> onStopped);

private:
    RequestServer::Options controlServerOptions(const Endpoint& endpoint);
    uint64_t evictedConnections() const;
    void handleControlRequest(const std::shared_ptr<ServerConnection>& connection, const ServerRequest& request);
    bool isReady() const;
    bool hasTraffic() const { return proxy_.hasReceivedRequest() || !settings_.isFirstStart; }

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
    void handleProbeResult(const std::string& engine, bool isAlive, const std::optional<MembershipReport>& report);
    void handleConnectionLost(const std::string& endpoint);
    void publishCrash(const CrashReport& report, const std::string& endpoint);
    void publishSoundPart(uint64_t part);
    void logCold(const Target& target, Millis time);
    void logReplicas(const std::string& service, const ReplicaPlanner& planner);
    void logIgnoredEras();
    void requestPlan();
    void tick();
    void sweep();
    void reportMemory();
    void updateOrganisationMetrics();
    void checkStop();

    GatewaySettings settings_;
    Clock clock_;
    Random random_;
    DecisionLog log_;
    ProxyMetrics metrics_;
    std::shared_ptr<MemoryBudget> callerMemory_;
    std::shared_ptr<MemoryBudget> endpointMemory_;
    PlatformAdapter adapter_;
    Dispatcher dispatcher_;
    ConnectionPool pool_;
    RetryWindow retries_;
    CrashList crashes_;
    ServiceTimes serviceTimes_;
    ProxyContext proxyContext_;
    Proxy proxy_;
    StoreFollower store_;
    ConfigurationFollower configuration_;
    EvacuatedDomains evacuated_; // before endpoints_, which applies it
    EndpointFollower endpoints_;
    Presence presence_;
    StoredBlocks storedBlocks_;
    UsageExchange usage_;
    PeerSnapshots snapshots_;
    EngineOrders orders_;
    std::map<std::string, ReplicaPlanner> planners_; // by service
    std::map<std::string, Millis> replicaProbedAt_; // by id of the head
    std::map<std::string, Millis> lostConnectionProbedAt_; // by id of the endpoint that lost a connection
    std::map<std::string, std::string> loggedReplicas_; // last logged text, by service
    RequestServer readyServer_;
    RequestServer controlServer_;
    std::map<std::string, uint64_t> plannedChanges_; // EndpointFollower::changeCount() that a planner has seen, by service
    uint64_t loggedMemoryDrops_ = 0;
    uint64_t loggedEvictions_ = 0;
    uint64_t appliedChanges_ = 0; // EndpointFollower::changeCount() that the dispatcher has seen
    RepeatingTimer planTimer_;
    RepeatingTimer tickTimer_;
    RepeatingTimer sweepTimer_;
    std::function<void()> onStopped_;
    Millis stopStartedAt_ { 0 };
    Millis plannedAt_ { 0 };
    Millis requestWaitedAt_ { -3600000 }; // when a request last waited for a slot; initially earlier than any real time
    bool isStopping_ = false;
    bool isPlanRequested_ = false;
    bool hasStoppedListening_ = false;
};

} // namespace hemlockweir
