#pragma once

#include "base/Clock.h"
#include "proxy/Placement.h"

#include <limits>
#include <list>
#include <unordered_map>

// Decides where a request runs, how long it waits and when it is refused. Requests wait here and
// not in an endpoint's queue, so that the most urgent goes first and one that can't be on time yields
// to one that can. No input or output: time comes by a hook, outcomes leave by hooks.

namespace hemlockweir {

class Dispatcher {
public:
    struct Options {
        Clock clock;
        Random random;
        std::string domain; // failure domain of this node
        Millis peerUsageLifetime { 1500 }; // ms, oldest word of another node that counts
        Millis peerLoadHalfLife { 1500 }; // ms, after which half of an estimate of others' load counts
        Millis suspectBackoff { 1500 }; // ms, without new requests after a failure
        Millis recentResponseWindow { 150 }; // ms, for which a target that answered counts as alive whatever other nodes say
        Millis urgencyWindow { 1000 }; // ms, for which less urgent work yields after more urgent work came
        double maxWaitObjectives = 2.0; // objectives that a request may wait for its place while nothing says how long its answer takes to begin
        size_t maxWaiting = 400; // requests that wait for one model
        Millis rejectionBackoff { 100 }; // ms, without new requests after a target rejected one
        std::function<void(const Target&, bool isUnresponsive)> onSuspect; // a target failed; silent: it gave no answer
        std::function<void()> onUsageChanged; // in a way that other nodes should know at once
    };

    explicit Dispatcher(Options options);

    // Replaces the targets of a service; what is known of those that stay is kept.
    void setTargets(const std::string& service, std::vector<Target> targets);

    // Places, queues or refuses a request; its hooks may run before this returns.
    void submit(PlacementRequest request);

    // Takes back a request that waits.
    void cancel(uint64_t id);

    // Frees the place that a request held.
    void release(const std::string& targetId);

    // Takes an endpoint's own word on its load: requests that it runs and that wait in it, of all nodes.
    void noteReportedLoad(const std::string& targetId, uint32_t running, uint32_t waiting);

    // Notes that an endpoint failed a request: gave no answer, or a wrong one.
    void noteFailure(const std::string& targetId, bool isUnresponsive);

    // Notes that an endpoint did not take a request. It may be full for a moment; again and again, it is as
    // good as failed.
    void noteRejection(const std::string& targetId);

    // Notes that an endpoint answers.
    void noteSuccess(const std::string& targetId);

    // Notes how long a request took from its place to the first byte of its answer.
    void noteFirstByte(const std::string& service, const std::string& model, Millis time);

    // Notes that another node got no answer from a target: new requests go elsewhere for a while, unless
    // this node hears from it.
    void notePeerFailure(uint32_t target);

    // Takes another node's own word on what it runs.
    void updatePeerUsage(const std::string& node, PeerUsage usage);

    // What this node runs, by target.
    std::map<uint32_t, TargetUsage> ownUsage() const;

    // Places what can be placed, refuses what waited too long. Call at regular times.
    void tick();

    size_t waitingCount() const { return waitingCount_; }

    // The targets that a request for the model could go to now, suspects not counted.
    size_t countTargets(const std::string& service, const std::string& model) const;

private:
    struct Queue {
        std::list<PlacementRequest> waiting;
        double startsPerSecond = 0; // places that became free, averaged
        Millis lastStartAt { 0 };
        Millis waitingSince { 0 }; // when it was last empty
        double firstByteMs = 0; // ms from a place to the first byte, averaged
        int mostUrgentPriority = std::numeric_limits<int>::max(); // priority of the most urgent work of late
        Millis mostUrgentAt { 0 }; // when that came
    };
    using QueueKey = std::pair<std::string, std::string>; // service and model

    bool tryPlace(PlacementRequest& request);
    void place(PlacementRequest request, TargetLoad& load);
    void refuse(PlacementRequest request, RefusalReason reason, size_t requestsAhead);
    void updateStartRate(Queue& queue);
    void placeWaiting(const QueueKey& key);
    void expire(Queue& queue);
    Millis latestStart(const Queue& queue, const PlacementRequest& request) const;
    bool goesBefore(const Queue& queue, const PlacementRequest& one, const PlacementRequest& other) const;
    std::list<PlacementRequest>::iterator findNext(Queue& queue);
    size_t countAhead(const Queue& queue, const PlacementRequest& request) const;
    std::vector<const TargetLoad*> loadsFor(const std::string& service, const std::string& model) const;
    double currentPeerRunning(const TargetLoad& load) const;
    void recomputePeerLoad();
    void applyUsageChange(uint32_t hash, const TargetUsage& before, Millis receivedBefore, const TargetUsage& after);
    bool isLate(const Queue& queue, const PlacementRequest& request) const;
    void updateUrgency(Queue& queue, int priority);
    void reportIfContended(const TargetLoad& load);
    Millis chooseRetryAfter(const PlacementRequest& request, Millis wait);
    void dropStalePeers();

    Options options_;
    std::map<std::string, TargetLoad> loads_; // by endpoint
    std::unordered_map<uint32_t, TargetLoad*> loadsByHash_; // the same, by name hash
    std::map<QueueKey, Queue> queues_;
    std::map<std::string, PeerUsage> peers_; // by node
    size_t waitingCount_ = 0;
    bool isPlacing_ = false;
};

} // namespace hemlockweir
