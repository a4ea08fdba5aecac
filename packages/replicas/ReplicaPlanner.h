#pragma once

#include "proxy/EndpointInfo.h"
#include "proxy/ProxyConfiguration.h"
#include "replicas/DomainValue.h"
#include "replicas/EngineOrder.h"

#include <functional>
#include <map>
#include <set>

// Decides which engines form replicas. The planner forms replicas within fabric domains, opens those that
// are whole, dissolves those that lost a member, and forms new replicas from the survivors. It does no I/O:
// the caller passes in what the engines report, sends the returned orders and passes back their results.
//
// Loading weights from the weight store takes much longer than a failed replica may be down, so recovery
// avoids loads where it can. Once there is traffic, replicas are formed only from engines that are warm for the
// model: the host holds a copy, or the engine served the model last. Copies are staged in advance, on serving engines
// too. A member of a replica that holds a copy of another model keeps serving, and after a loss in its fabric domain it
// can serve either model (see DomainValue.h).
//
// Engines that are left over in their fabric domains form replicas that span several domains of one failure domain. These
// are slow, so they are the last ones to get requests, and they are broken up as soon as a fabric domain can complete a
// replica of its own with one of their members (see SpanningReplicas.cpp).
//
// Engines in an evacuated failure domain get no order. What is known of them is kept: their replicas may still be open, and
// serve again when the evacuation ends.
//
// Only one planner at a time gives orders for a service. A successor rebuilds its state from what the
// engines report. It keeps replicas that are open, but forms those anew that its predecessor did not open.

namespace hemlockweir {

// Returns the lowest epoch of a planner's term. The epochs of a term are above those of all earlier ones.
uint64_t firstEpochOf(uint64_t term);

// A replica as its members report it.
struct ReplicaView {
    std::string group;
    uint64_t epoch = 0;
    std::string model;
    std::string fabric; // of the head
    size_t size = 0; // number of members that the model needs
    bool isSpanning = false; // its members are in several fabric domains
    std::vector<const EndpointInfo*> members; // by rank; null: missing, dead, or already in another group
    bool isLeaving = false; // a member is shutting down
    bool hasDeadMember = false;
    bool hasEvacuatedMember = false; // it serves nothing

    const EndpointInfo* head() const { return members.empty() ? nullptr : members.front(); }
    bool isWhole() const;
    bool isReady() const; // whole, and every member is Ready or Open
};

class ReplicaPlanner {
public:
    struct Options {
        Clock clock;
        Millis orderTrustTime { 1500 }; // ms for which a join without an answer overrides the state that the engine reports
        Millis acceptedTrustTime { 1500 }; // ms after which the engine's own report may contradict a join that it accepted
        Millis takeoverDelay { 1000 }; // ms of a new term without joins: reports may not show the last orders of the previous planner
        Millis discoveryQuietTime { 1000 }; // ms without a new engine before the first replicas are formed
        Millis drainTimeout { 9500 }; // ms for a closed replica to finish its requests; a leaving member stays for 10 s
        Millis orderRetryInterval { 2500 }; // ms after which an order that had no effect is repeated
        Millis reportDelay { 700 }; // ms after which the list should show an accepted join
        Millis reserveTime { 3000 }; // ms for which engines wait for a copy that completes a replica of a model in more need
        Millis surplusTime { 2500 }; // ms for which a model must have a surplus before it gives up replicas: losses are repaired sooner
        Millis utilizationHalfLife { 1000 }; // ms, half-life of the moving average of a model's utilization
        Millis transferInterval { 1000 }; // ms between two replicas that are taken from one model for another
        Millis leftOverTime { 1000 }; // ms for which an engine must have been free before it joins a spanning replica: a loss may need it
        size_t targetSpares = 2; // engines of smaller replicas in a fabric domain that are counted for a large model at the start
    };

    explicit ReplicaPlanner(Options options);

    // Replaces the engine list with the current reports. An engine missing from the list is removed, unless it is
    // a member of an open replica whose head is still listed: an engine that lost its connection to the platform
    // may still be serving.
    void setEngines(const std::vector<EndpointInfo>& engines, const EngineProfile& profile);

    // Returns the engines that must be probed: those that serve but are no longer listed, those that are still listed but
    // did not answer, and those that accepted a join which the list does not show. The latter may have lost their
    // connection to the platform. Evacuated engines are not among them.
    std::vector<EndpointInfo> findUnverified() const;

    // Records the membership that an engine reported itself when it was probed; unset: none. Returns true if it is news.
    bool noteReport(const std::string& engine, const std::optional<Membership>& membership);

    // Records whether an engine answered a probe. Returns true if its liveness changed.
    bool noteProbe(const std::string& engine, bool isAlive);

    // Sets the planner's term, which increases whenever another planner takes over. Group names contain the term,
    // so two planners can never put members into the same group. Epochs have it in their high bits, so an order of
    // an earlier planner that arrives late has a lower epoch than any of this one, and engines refuse it.
    void setTerm(uint64_t term);

    // Records that requests are being served. From then on loads are slow and compete for the store's bandwidth.
    void noteTraffic() { hasTraffic_ = true; }

    // Sets for how many ms an engine is cold at most, and then takes fewer requests; 0: none is.
    void setColdTime(Millis time) { coldTime_ = time; }

    // Records the fraction of the slots of each model's replicas that is in use, by model. Used as a moving average.
    void noteUtilization(const std::map<std::string, double>& utilization);

    // Returns the orders to send now. The caller must pass the result of each to noteResult().
    std::vector<EngineOrder> plan();
    void noteResult(const EngineOrder& order, OrderResult result);

    // Returns the members, by rank, of the replica that has this engine as head; empty if there is none.
    std::vector<std::string> membersOfHead(const std::string& head) const;

    // Returns every known replica, including incomplete ones. The pointers in the result are valid until the next
    // call of setEngines().
    std::vector<ReplicaView> findReplicas() const;

    // Returns the number of engines in no replica, by the model that their host holds, as "MODEL:COUNT;...".
    // "MODEL(loading)" counts hosts that are loading a copy, "none" those without a copy, "dead" engines that
    // did not answer, and "evacuated" those in an evacuated failure domain.
    std::string describeIdleEngines() const;

private:
    // Earlier than any time of the clock.
    static constexpr Millis never { -3600000 };

    struct Engine {
        EndpointInfo info; // as reported, but with the membership that the planner believes in
        std::optional<Membership> reportedMembership;
        std::optional<Membership> orderedMembership; // that the newest join results in, until a report shows it
        bool isJoinAccepted = false; // the engine accepted that join
        Millis joinOrderedAt = never; // when that join was ordered or accepted
        uint64_t leftEpoch = 0; // the engine was in the group of this epoch and left; memberships up to it have ended
        bool isDead = false; // it did not answer
        bool isUnlisted = false; // still serving, but gets no new work from the planner
        Millis lastOrderAt = never;
        uint64_t pendingJoinEpoch = 0; // of the newest join order that it may still carry out
        std::string lastModel; // of its latest group
        Millis freeSince = never; // valid while it is free
        bool wasFree = false;
        std::string stagingModel; // model that its host is loading; empty: none
        Millis stagingStartedAt = never;
        Millis stageRefusedAt = never;
    };

    // A group that this planner formed or adopted from a predecessor.
    struct ReplicaPlan {
        std::string group;
        std::string model;
        std::string fabric;
        std::vector<std::string> members;
        uint64_t epoch = 0;
        bool isSpanning = false;
        bool isReclaimed = false; // being broken up for a replica within a fabric domain
        Millis startedAt = never;
        Millis openedAt = never;
        Millis closedAt = never;
    };

    // The engines of a fabric domain without evacuated ones, and the most valuable copies to load there.
    struct Domain {
        std::vector<Engine*> engines;
        std::vector<Engine*> hosts; // of DomainState::hosts, in the same order
        DomainState state;
        std::optional<CopyChoice> choice; // for this state
    };

    using FreeEngines = std::vector<const Engine*>;

    static std::optional<Membership> believe(Engine& engine, const Options& options);
    void refreshBeliefs();
    void maintainReplicas(std::vector<EngineOrder>& orders);
    void maintainReplica(const ReplicaView& replica, std::vector<EngineOrder>& orders);
    bool hasPendingNewerJoin(const ReplicaView& replica) const;
    bool isOfEarlierTerm(const ReplicaView& replica) const;
    void vacateReplica(const ReplicaView& replica, std::vector<EngineOrder>& orders);
    void drainReplica(const ReplicaView& replica, std::vector<EngineOrder>& orders);
    void dissolveReplica(const ReplicaView& replica, std::vector<EngineOrder>& orders);
    void noteLeave(Engine& engine, uint64_t epoch);
    void formReplicas(std::vector<EngineOrder>& orders);
    bool formReplicaIn(const std::string& fabric, FreeEngines& free, std::vector<EngineOrder>& orders);
    void formSpanningReplicas(std::map<std::string, FreeEngines>& freeByDomain, std::vector<EngineOrder>& orders);
    bool formSpanningReplica(const ReplicaModel& model, FreeEngines& free, std::vector<EngineOrder>& orders);
    bool keepsCopies(const Engine& engine, const std::string& model) const;
    bool isReclaimable(const Engine& engine) const;
    bool reclaimMembers(const ReplicaModel& model, const std::string& fabric, size_t required, std::vector<EngineOrder>& orders);
    double effectiveEngines(const ReplicaPlan& plan, const ReplicaModel& model) const;
    bool isCold(const Engine& engine) const;
    void chooseHead(FreeEngines& members) const;
    void createReplica(const std::string& fabric, const ReplicaModel& model, const FreeEngines& members, std::vector<EngineOrder>& orders);
    bool completesSoon(const ReplicaModel& model, const std::string& fabric, const FreeEngines& free, std::vector<EngineOrder>& orders);
    bool drainSpares(const ReplicaModel& model, const std::string& fabric, size_t required, std::vector<EngineOrder>& orders);
    void drainGroups(const std::set<std::string>& groups, std::vector<EngineOrder>& orders);
    bool isDraining(const Engine& engine) const;
    bool isLoadedSoon(const Engine& engine, const ReplicaModel& model) const;
    void stageCopies(std::vector<EngineOrder>& orders);
    void stageSecondCopies(std::vector<EngineOrder>& orders);
    void updateDomainState(Domain& domain) const;
    DomainHost describeHost(const Engine& engine) const;
    const ReplicaModel* chooseSecondModel(const Engine& engine) const;
    std::vector<ModelWeight> modelWeights() const;
    size_t loadLimit(double gainPerLoad) const;
    void rebalance(std::vector<EngineOrder>& orders);
    bool hasLastingSurplus(const ReplicaModel& donor, const ReplicaModel& recipient);
    bool hasSurplus(const ReplicaModel& donor, double taken, const ReplicaModel& recipient, double gained) const;
    bool transferReplicas(const ReplicaModel& donor, const ReplicaModel& recipient, std::vector<EngineOrder>& orders);
    void stageCopy(const ReplicaModel& model, Engine& engine, std::vector<EngineOrder>& orders);
    double scarcity(const ReplicaModel& model) const;
    bool isLarge(const ReplicaModel& model) const;
    bool mayDonate(const ReplicaModel& donor, const ReplicaModel& recipient, size_t replicas) const;
    std::vector<const Engine*> findSpares(const ReplicaModel& model, const std::string& fabric) const;
    bool isServing(const Engine& engine) const;
    const ReplicaModel* modelOf(const Engine& engine) const;
    ModelSet modelBit(const std::string& model) const;
    void updateDomains();
    bool isFree(const Engine& engine) const;
    bool isWarm(const Engine& engine, const std::string& model) const;
    bool hasCopy(const Engine& engine, const std::string& model) const;
    std::vector<const ReplicaModel*> modelsByNeed() const;
    void updateCounts();
    double expectedSpares(const ReplicaModel& model) const;
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
    Millis coldTime_ { 0 };
    std::map<std::string, Engine> engines_; // by id
    std::map<std::string, ReplicaPlan> plans_; // by group
    std::map<std::string, double> engineCounts_; // engines in whole replicas, those being formed included, by model
    std::set<std::string> wholeGroups_; // groups of whole replicas
    std::map<std::string, Domain> domains_; // by fabric domain
    std::vector<ModelWeight> weights_; // with which the copies in domains_ were chosen
    Millis termStartedAt_ = never;
    Millis transferredAt_ = never;
    Millis utilizationNotedAt_ = never;
    std::map<std::string, double> utilization_; // fraction of the slots in use, moving average by model
    std::map<std::pair<std::string, std::string>, Millis> surplusSince_; // by donor and recipient
    uint64_t lastEpoch_ = 0;
    uint64_t term_ = 0;
    Millis lastEngineAddedAt_ { 0 };
    bool hasTraffic_ = false;
};

} // namespace hemlockweir
