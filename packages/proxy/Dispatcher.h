#pragma once

#include "base/Clock.h"
#include "proxy/EndpointNotices.h"
#include "proxy/RequestQueue.h"

#include <limits>
#include <unordered_map>

// Schedules requests: decides on which target a request runs, how long it is queued and when it is refused. Requests
// are queued here and not at an endpoint, so that the most urgent request runs first, and a request that can't meet
// its objective yields to one that can. Performs no I/O: the clock is an option and results are passed to callbacks.

namespace hemlockweir {

class Dispatcher {
public:
    struct Options {
        Clock clock;
        Random random;
        std::string node; // name of this node
        std::string domain; // failure domain of this node
        Millis peerUsageLifetime { 1500 }; // ms, age at which the usage report of a peer is dropped
        Millis peerLoadHalfLife { 1500 }; // ms, half-life of the load that an endpoint reported, while no peer reports usage
        Millis suspectBackoff { 1500 }; // ms, without new requests to a target after its first failure
        Millis recentResponseWindow { 150 }; // ms after a response during which failure reports of peers are ignored
        Millis urgencyWindow { 1000 }; // ms, for which requests yield after a more urgent one arrived
        double maxWaitObjectives = 2.0; // longest wait as a multiple of the objective, while the time to first byte is unknown
        size_t maxWaiting = 400; // queued requests per model
        Millis minReportAge { 45 }; // ms; reports of the peers are on average at least as old when they decide something
        size_t maxQueues = 1000; // models with a queue; started responses of a model without targets need one, too
        Millis rejectionBackoff { 100 }; // ms, without new requests to a target after it rejected one
        std::function<void(const Target&, bool isUnresponsive)> onSuspect; // a target failed; unresponsive: it sent no response
        std::function<void(const Target&, Millis time)> onCold; // an endpoint's entry said that it is cold, for how many ms at most; may be empty
        std::function<void()> onUsageChanged; // local usage changed and should be published immediately
    };

    explicit Dispatcher(Options options);

    // Replaces the targets of a service; targets that remain keep their known load.
    void setTargets(const std::string& service, std::vector<Target> targets);

    // Returns whether the target is among those set last, as the same process with the same model.
    bool isTarget(const Target& target) const;

    // Places, queues or refuses a request. Its callbacks may run before this returns.
    void submit(PlacementRequest request);

    // Removes a queued request without calling its callbacks.
    void cancel(uint64_t id);

    // Takes a request that ended, in whatever way, off the load of the target that it was placed on.
    void release(const std::string& targetId, uint64_t id);

    // Applies the load that an endpoint reported: its running and queued requests from all nodes. Ignored while peers
    // report their usage.
    void noteReportedLoad(const std::string& targetId, uint32_t running, uint32_t waiting);

    // Records that an endpoint failed a request: it sent no response or an invalid one.
    void noteFailure(const std::string& targetId, bool isUnresponsive);

    // Records that the only endpoint that may run a request is silent. It gets further requests, since no other may run them.
    void noteSilence(const std::string& targetId);

    // Returns whether the model has a target that may get requests now, beside the given endpoints.
    bool hasTargetBeside(const std::string& service, const std::string& model, const std::set<std::string>& endpoints) const;

    // Records that an endpoint rejected a request. It may just be full for a moment, but several rejections in a row
    // count as a failure.
    void noteRejection(const std::string& targetId);

    // Records that an endpoint announced that it leaves: it gets no new request. Returns whether that is news.
    bool noteLeaving(const Target& target);

    // Records that an endpoint announced that it wants no request for a time in ms. Afterwards it gets a single one first.
    void notePause(const Target& target, Millis time);

    // Applies what an answer says of the endpoint's request limit: the requests a second from all nodes, or nullopt if it names
    // none. `sentAt` is when the request of the answer was placed. Returns whether the limit changes.
    bool noteRequestLimit(const Target& target, std::optional<double> perSecond, Millis sentAt);

    // Records that an endpoint said in an answer that it is cold for a time in ms; 0: it is not. Returns whether that is news.
    bool noteCold(const Target& target, Millis time);

    // Returns the limits of endpoints, for metrics.
    const EndpointLimits& limits() const { return limits_; }

    // Sets the names of the other nodes, which share the limits of endpoints.
    void setPeerNodes(std::vector<std::string> nodes) { limits_.setPeers(std::move(nodes)); }

    // Sets when the list of nodes was last known to contain this one; nullopt: it does not now.
    void setOwnListing(std::optional<Millis> listedAt) { limits_.setOwnListing(listedAt); }

    // Applies what another node reported about the limits of endpoints. Call it for each of its messages.
    void applyLimitReports(const std::string& node, const std::vector<LimitReport>& reports);

    // Returns what to tell the other nodes about the limits of endpoints.
    std::vector<LimitReport> takeLimitReports() { return limits_.takeReports(); }

    // Records that a request was answered completely. How long it held its slot tells how long others will. Call before release().
    void noteAnswered(const std::string& targetId, uint64_t id);

    // Sets the organisations of the configuration, which share the slots when requests wait. The use of others is discarded.
    void setOrganisations(const std::vector<Organisation>& organisations) { shares_.setOrganisations(organisations); }

    // Returns the recent use of the organisations at this node, for the other nodes.
    std::vector<OrganisationUse> ownOrganisationUses() const { return shares_.ownUses(options_.clock()); }

    // Applies the recent use of the organisations that a peer reported for itself.
    void updatePeerOrganisationUses(const std::string& node, const std::vector<OrganisationUse>& uses) { shares_.setPeerUses(node, uses, options_.clock()); }

    // Returns the recent use of an organisation over all nodes, in ms of engine time.
    double organisationUse(const std::string& name) const { return shares_.use(shares_.keyOf(name), options_.clock()); }

    // Records that an endpoint responds.
    void noteSuccess(const std::string& targetId);

    // Records the time from the placement of a request on a target to the first byte of its response.
    void noteFirstByte(const Target& target, Millis time);

    // Records that a peer got no response from a target. The target gets no new requests for `suspectBackoff`, unless
    // this node received a response from it within `recentResponseWindow`.
    void notePeerFailure(uint32_t target);

    // Applies the usage that a peer reported for itself.
    void updatePeerUsage(const std::string& node, PeerUsage usage);

    // Returns the usage of this node.
    PeerUsage ownUsage() const;

    // Returns the fraction of the targets' slots in use, over all nodes, by model.
    std::map<std::string, double> utilization(const std::string& service) const;

    // Places queued requests and refuses those that waited too long. Call periodically.
    void tick();

    size_t waitingCount() const;

    // Returns the number of models with a queue, which may be empty.
    size_t queueCount() const { return queues_.size(); }

    // Returns the number of targets for the model, without those that are suspect or that only other nodes use.
    size_t countTargets(const std::string& service, const std::string& model) const;

private:
    struct Queue {
        RequestQueue waiting;
        double firstByteMs = 0; // ms, moving average of the time from placement to the first byte, at a time factor of 1
        int mostUrgentPriority = std::numeric_limits<int>::max(); // of the recent requests
        Millis mostUrgentAt { 0 }; // when the most urgent of the recent requests arrived
        double claims = 0; // contended slots that this node may take
        Millis claimsUpdatedAt { 0 };
        Millis reservedUntil { 0 }; // until then one free slot is left to the other nodes
        Millis timeSliceStart { 0 }; // when this node got its first slot or last left one to another node
        double holdMs = 0; // ms, moving average of the time that an answered request held its slot; 0: unknown
        double promptTokens = 0; // moving average of the prompt length of placed requests
    };
    using QueueKey = std::pair<std::string, std::string>; // service and model

    bool tryPlace(PlacementRequest& request, const TargetLoad* freed = nullptr);
    bool tryPlaceOnSpanning(PlacementRequest& request, const Queue& queue);
    // The slots of a model that are expected to be free now.
    struct FreeSlots {
        double all = 0;
        double assured = 0; // those that nodes may take without regard to each other

        auto operator<=>(const FreeSlots&) const = default;
    };

    LoadForecast forecastFor(const QueueKey& key, const Queue& queue) const;
    double meanReportAgeMs() const;
    FreeSlots countFreeSlots(const QueueKey& key, const LoadForecast& forecast, bool reportsHold) const;
    size_t countWaitingPeers(const QueueKey& key) const;
    bool reportsHold(const Queue& queue) const;
    double slotUsesPerReport(const Queue& queue) const;
    bool isOutdatedOnArrival(const Queue& queue) const;
    bool mayClaim(Queue& queue, double freeSlots, double otherClaimants);
    bool keepsFreedSlot(const QueueKey& key, Queue& queue, const TargetLoad& freed);
    bool isRunningAny(const QueueKey& key) const;
    bool isPeerStarved(const QueueKey& key) const;
    void place(PlacementRequest request, TargetLoad& load);
    void refuse(PlacementRequest request, RefusalReason reason, size_t requestsAhead);
    void applyNotice(const Target& target);
    Millis untilAvailable(const QueueKey& key);
    void placeWaiting(const QueueKey& key, const TargetLoad* freed = nullptr);
    void expire(Queue& queue);
    void dropUnusedQueues();
    QueueMoment momentOf(const Queue& queue) const;
    bool isTooLarge(const PlacementRequest& request) const;
    // The targets of one model.
    struct ModelLoads {
        std::vector<const TargetLoad*> local; // plain endpoints, and replicas within a fabric domain
        std::vector<const TargetLoad*> spanning;
    };
    const ModelLoads& loadsFor(const QueueKey& key) const;
    void indexLoads();
    double currentPeerRunning(const TargetLoad& load) const;
    void recomputePeerLoad();
    void applyUsageChange(uint32_t hash, const TargetUsage& before, Millis receivedBefore, const TargetUsage& after);
    bool isLate(const Queue& queue, const PlacementRequest& request) const;
    void updateUrgency(Queue& queue, int priority);
    void reportChange(const TargetLoad& load, double promptMs);
    void enqueue(const QueueKey& key, PlacementRequest request);
    bool canStartInTime(const Queue& queue, const PlacementRequest& request, const QueueMoment& moment) const;
    QueueMoment placementMoment(const QueueKey& key, const Queue& queue) const;
    void dropStalePeers();
    void updateAllowances();
    void noteColdTargets(const std::vector<Target>& targets);
    void useAllowance(TargetLoad& load);

    Options options_;
    EndpointNotices notices_;
    EndpointLimits limits_;
    OrganisationShares shares_;
    std::map<std::string, TargetLoad> loads_; // by endpoint id
    std::map<std::string, std::vector<Target>> targets_; // by service, as set last
    std::unordered_map<uint32_t, TargetLoad*> loadsByHash_; // by hashTarget() of the id
    std::map<QueueKey, ModelLoads> loadsByModel_;
    std::map<QueueKey, Queue> queues_;
    std::map<std::string, PeerUsage> peers_; // by node
    bool isPlacing_ = false;
};

} // namespace hemlockweir
