#pragma once

#include "base/Clock.h"
#include "proxy/Target.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>

// Decides where a request runs, how long it waits and when it is refused. Requests wait here and
// not in an endpoint's queue, so that the most urgent goes first and one that can't be on time yields
// to one that can. No input or output: time comes by a hook, outcomes leave by hooks.

namespace hemlockweir {

// Why a request was refused.
enum class RefusalReason : uint8_t {
    NoTarget, // no endpoint or replica can serve it now
    QueueTooLong, // more work waits before it than can start in time
    WaitedTooLong, // its turn did not come in time
};

std::string_view refusalReasonName(RefusalReason reason);

struct PlaceRefusal {
    RefusalReason reason = RefusalReason::NoTarget;
    Millis retryAfter { 0 }; // ms, until a place is likely
    size_t waitingBefore = 0; // requests that go before it
    size_t targets = 0; // that could serve it
};

// A request that wants a place.
struct Ticket {
    uint64_t id = 0;
    std::string service;
    std::string model; // empty: a plain endpoint
    int priority = 5; // 0 is most urgent
    Millis arrivedAt { 0 };
    Millis objectiveAt { 0 }; // its answer is on time until then
    Millis giveUpAt { 0 }; // an answer is of no use after that
    bool isBegun = false; // its answer has begun: it waits for a place as long as an answer is of use
    std::set<std::string> avoid; // endpoints that failed it
    std::function<void(const Target&)> onPlaced;
    std::function<void(const PlaceRefusal&)> onRefused;
};

// One target with what is known of its load.
struct TargetLoad {
    Target target;
    uint32_t running = 0; // requests of this node
    double others = 0; // requests of other nodes, estimated
    Millis othersKnownAt { 0 };
    Millis suspectUntil { 0 }; // nothing is placed there before
    uint32_t failures = 0; // in a row

    double used() const { return running + others; }
};

// What another node says it runs on each target, by the target's name hash.
struct PeerUsage {
    std::map<uint32_t, uint32_t> running;
    Millis heardAt { 0 };
};

// The short name of a target between nodes.
uint32_t hashTarget(const std::string& targetId);

// How many of the free targets are compared for one request. All nodes see the same picture for a
// moment: if each took the best of all, they would meet there.
size_t sampleSize(size_t freeTargets, size_t nodes);

// The target for a ticket: of some drawn by chance, the one with the largest free part, in the own
// domain if it is as free. Null if none has a free place, or all failed the ticket.
const TargetLoad* chooseTarget(const std::vector<const TargetLoad*>& loads, const Ticket& ticket, const std::string& ownDomain, Millis now, size_t nodes, const Random& random);

class Dispatcher {
public:
    struct Options {
        Clock clock;
        Random random;
        std::string domain; // failure domain of this node
        Millis peerFreshness { 1500 }; // ms, oldest word of another node that counts
        Millis othersHalfLife { 1500 }; // ms, after which half of an estimate of others' load counts
        Millis suspectTime { 1500 }; // ms, without new requests after a failure
        double lateFactor = 2.0; // objectives that a request may wait for its place
        size_t maxWaiting = 400; // requests that wait for one model
        std::function<void(const Target&)> onSuspect; // a target gave no answer
    };

    explicit Dispatcher(Options options);

    // Replaces the targets of a service; what is known of those that stay is kept.
    void setTargets(const std::string& service, std::vector<Target> targets);

    // Places, queues or refuses a request; its hooks may run before this returns.
    void submit(Ticket ticket);

    // Takes back a request that waits.
    void cancel(uint64_t id);

    // Frees the place that a request held.
    void release(const std::string& targetId);

    // Takes an endpoint's own word on its load: requests that it runs and that wait in it, of all nodes.
    void noteLoad(const std::string& targetId, uint32_t running, uint32_t waiting);

    // Notes that an endpoint gave no answer, or a good one.
    void noteFailure(const std::string& targetId);
    void noteSuccess(const std::string& targetId);

    // Notes how long a request took from its place to the first byte of its answer.
    void noteFirstByte(const std::string& service, const std::string& model, Millis time);

    // Takes another node's own word on what it runs.
    void notePeer(const std::string& node, PeerUsage usage);

    // What this node runs, by target.
    std::map<uint32_t, uint32_t> ownUsage() const;

    // Places what can be placed, refuses what waited too long. Call at regular times.
    void tick();

    size_t waitingCount() const { return waitingCount_; }

    // The targets that a request for the model could go to now, suspects not counted.
    size_t countTargets(const std::string& service, const std::string& model) const;

private:
    struct Queue {
        std::list<Ticket> waiting;
        double startsPerSecond = 0; // places that became free, averaged
        Millis lastStartAt { 0 };
        Millis waitingSince { 0 }; // when it was last empty
        double firstByteMs = 0; // ms from a place to the first byte, averaged
    };
    using QueueKey = std::pair<std::string, std::string>; // service and model

    bool tryPlace(Ticket& ticket);
    void place(Ticket ticket, TargetLoad& load);
    void refuse(Ticket ticket, RefusalReason reason, size_t waitingBefore);
    void noteStart(Queue& queue);
    void pump(const QueueKey& key);
    void expire(Queue& queue);
    Millis latestStart(const Ticket& ticket) const;
    bool goesBefore(const Queue& queue, const Ticket& one, const Ticket& other) const;
    std::list<Ticket>::iterator findNext(Queue& queue);
    size_t countBefore(const Queue& queue, const Ticket& ticket) const;
    std::vector<const TargetLoad*> loadsFor(const std::string& service, const std::string& model) const;
    double othersNow(const TargetLoad& load) const;
    void updateOthers();
    void forgetSilentPeers();

    Options options_;
    std::map<std::string, TargetLoad> loads_; // by endpoint
    std::map<QueueKey, Queue> queues_;
    std::map<std::string, PeerUsage> peers_; // by node
    size_t waitingCount_ = 0;
    bool isPumping_ = false;
};

} // namespace hemlockweir
