#pragma once

#include "proxy/EndpointInfo.h"
#include "proxy/ProxyConfiguration.h"
#include "replicas/EngineOrder.h"

#include <functional>
#include <map>
#include <set>

// Decides which engines createReplica replicas: forms them within fabric domains, opens those that are whole,
// takes apart those that lost a member, and forms their survivors anew. No input or output: it is told
// what the engines say and returns orders.
//
// The weight store is slow against losses, so nothing waits for it if it can be helped. Once there is
// traffic, replicas are formed only of engines whose hosts hold the model. Copies are loaded ahead, onto
// idle engines and onto members of smaller replicas: such a member serves on, and takes the place of a
// lost one of a larger replica when it is needed.
//
// One planner at a time gives orders for a service. Another one that takes over needs nothing but what
// the engines say of themselves.

namespace hemlockweir {

// A replica as its members describe it.
struct ReplicaView {
    std::string group;
    uint64_t epoch = 0;
    std::string model;
    std::string fabric;
    size_t size = 0; // members that the model needs
    std::vector<const EndpointInfo*> members; // by rank; null: not there, or in another group by now
    bool isLeaving = false; // a member is about to stop
    bool hasDeadMember = false;

    const EndpointInfo* head() const { return members.empty() ? nullptr : members.front(); }
    bool isWhole() const;
    bool isReady() const; // whole, and every member ready or open
};

class ReplicaPlanner {
public:
    struct Options {
        Clock clock;
        Millis orderTrustTime { 1500 }; // ms, for which an order is believed before the engine's own word
        Millis discoveryQuietTime { 1000 }; // ms without a new engine after which the first replicas are formed
        Millis drainTimeout { 9500 }; // ms that a closed replica has to finish its work; a leaving member stays 10 s for it
        Millis orderRetryInterval { 2500 }; // ms, after which an order without effect is given retryInterval
        size_t targetSpares = 2; // hosts in a fabric domain that hold a large model beside its replicas
    };

    explicit ReplicaPlanner(Options options);

    // Takes the engines as they describe themselves now. One that is missing is gone, unless it is a member of
    // a replica whose head is still listed: an engine may be cut off from the platform and go on serving.
    void setEngines(const std::vector<EndpointInfo>& engines, const EngineProfile& profile);

    // The engines that are to be asked whether they live: those that serve unlisted, and those that are
    // listed though they gave no answer.
    std::vector<EndpointInfo> findUnverified() const;

    // Notes whether an engine answered; true if that is news.
    bool noteProbe(const std::string& engine, bool isAlive);

    // Takes the planner's term, which rises with each change of planner. Group names carry it, so that two
    // planners never make one group of members that each of them chose. Epochs begin with it: an order of an
    // earlier planner that is carried out late is below all epochs of this one, and engines refuse it.
    void setTerm(uint64_t term);

    // Whether requests were served since the start: from then on loads cost time and rate.
    void noteTraffic() { hasTraffic_ = true; }

    // The orders to give now. Each is to be followed by noteResult().
    std::vector<EngineOrder> plan();
    void noteResult(const EngineOrder& order, OrderResult result);

    // A replica whose head is the engine, if there is one.
    std::vector<std::string> membersOfHead(const std::string& head) const;

    std::vector<ReplicaView> findReplicas() const;

    // Engines that serve in no replica, by the model that their host holds or loads, as "MODEL:COUNT;...";
    // "none" without a copy, "dead" without an answer.
    std::string describeIdle() const;

private:
    // A time before every other.
    static constexpr Millis never { -3600000 };

    struct Engine {
        EndpointInfo info; // its own word, overruled by orders given of late
        std::optional<Membership> orderedMembership; // what the last order makes of it
        bool isOrderPending = false; // an order was given that its own word does not show yet
        bool isDead = false; // it gave no answer
        bool isUnlisted = false; // it serves on, but nothing new is begun with it
        Millis lastOrderAt = never;
        uint64_t pendingJoinEpoch = 0; // of the newest join that it was given and may still carry out
        std::string lastModel; // of the group it was in last
        std::string stagingModel; // model on its way to the host; empty: none
        Millis stagingStartedAt = never;
        Millis stageRefusedAt = never;
    };

    struct ReplicaPlan {
        std::string group;
        std::string model;
        std::string fabric;
        std::vector<std::string> members;
        uint64_t epoch = 0;
        Millis startedAt = never;
        Millis openedAt = never;
        Millis closedAt = never;
    };

    // Hosts in a fabric domain whose engines don't serve the model.
    struct CopyCount {
        size_t idle = 0; // with a copy, in no replica
        size_t serving = 0; // with a copy, in a replica of another model
        size_t cold = 0; // without, in no replica
    };

    // What one more copy of a model would be worth.
    struct CopyValue {
        double enginesGained = 0; // that it brings into service; 0: none is required
        bool mayUseServingHost = false; // a member of a smaller replica may hold it
    };

    using FreeEngines = std::vector<const Engine*>;

    void maintainReplicas(std::vector<EngineOrder>& orders);
    void maintainReplica(const ReplicaView& replica, std::vector<EngineOrder>& orders);
    bool hasPendingNewerJoin(const ReplicaView& replica) const;
    void drainReplica(const ReplicaView& replica, std::vector<EngineOrder>& orders);
    void dissolveReplica(const ReplicaView& replica, std::vector<EngineOrder>& orders);
    void formReplicas(std::vector<EngineOrder>& orders);
    bool formReplicaIn(const std::string& fabric, FreeEngines& free, std::vector<EngineOrder>& orders);
    void createReplica(const std::string& fabric, const ReplicaModel& model, const FreeEngines& members, std::vector<EngineOrder>& orders);
    void drainSpares(const std::string& fabric, const FreeEngines& free, std::vector<EngineOrder>& orders);
    void stageCopies(std::vector<EngineOrder>& orders);
    void rebalance(std::vector<EngineOrder>& orders);
    bool isSteady() const;
    bool hasSurplus(const ReplicaModel& donor, const ReplicaModel& recipient) const;
    bool transferReplica(const ReplicaModel& donor, const ReplicaModel& recipient, std::vector<EngineOrder>& orders);
    void stageCopy(const ReplicaModel& model, Engine& engine, std::vector<EngineOrder>& orders);
    double scarcity(const ReplicaModel& model) const;
    bool isReserved(const Engine& engine, const ReplicaModel& model) const;
    CopyValue evaluateCopy(const ReplicaModel& model, const CopyCount& count) const;
    CopyCount countCopies(const ReplicaModel& model, const std::string& fabric) const;
    double countSpares(const ReplicaModel& model) const;
    bool isLarge(const ReplicaModel& model) const;
    std::set<std::string> fabrics() const;
    const Engine* chooseHost(const ReplicaModel& model, const std::string& fabric, bool mayUseServingHost) const;
    bool mayDonate(const ReplicaModel& donor, const ReplicaModel& recipient, size_t required) const;
    std::vector<const Engine*> findSpares(const ReplicaModel& model, const std::string& fabric) const;
    bool isServing(const Engine& engine) const;
    const ReplicaModel* modelOf(const Engine& engine) const;
    std::map<std::string, FreeEngines> findFreeEngines() const;
    bool isFree(const Engine& engine) const;
    bool isWarm(const Engine& engine, const std::string& model) const;
    bool hasCopy(const Engine& engine, const std::string& model) const;
    std::vector<const ReplicaModel*> modelsByNeed() const;
    void updateCounts();
    double enginesFor(const std::string& model) const;
    size_t countActiveLoads() const;
    bool isInitialFormation() const;
    bool canOrder(const std::string& engine, Millis retryInterval) const;
    void updatePlans();
    void removeMissing(const std::set<std::string>& listed);
    bool servesUnlisted(const Engine& engine, const std::set<std::string>& listed) const;
    EngineOrder makeOrder(EngineOrderKind kind, const Engine& engine, const std::string& group, uint64_t epoch) const;

    Options options_;
    EngineProfile profile_;
    std::map<std::string, Engine> engines_; // by id
    std::map<std::string, ReplicaPlan> plans_; // by group
    std::map<std::string, double> engineCounts_; // engines in whole replicas, by model
    std::map<std::pair<std::string, std::string>, size_t> idleCopies_; // idle engines with a copy, by fabric domain and model
    uint64_t lastEpoch_ = 0;
    uint64_t term_ = 0;
    Millis lastEngineAddedAt_ { 0 }; // when an engine was last seen for the first time
    bool hasTraffic_ = false;
};

} // namespace hemlockweir
