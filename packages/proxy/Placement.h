#pragma once

#include "base/Clock.h"
#include "proxy/EndpointLimits.h"
#include "proxy/LoadForecast.h"
#include "proxy/Target.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

// Placement of requests on targets: the load of each target as known to this node, and the selection of a target
// by that load.

namespace hemlockweir {

// Why a request was refused without being sent to a target.
enum class RefusalReason : uint8_t {
    NoTarget, // no endpoint or replica is available
    TooLarge, // its prompt exceeds the memory of every endpoint or replica
    QueueTooLong, // more requests are queued ahead of it than can start in time
    WaitedTooLong, // no slot became free in time
    Displaced, // the queue was full, and a request with more value took its place
};

// Returns the name of the reason as it appears in logs and metrics.
std::string_view refusalReasonName(RefusalReason reason);

struct PlacementRefusal {
    RefusalReason reason = RefusalReason::NoTarget;
    Millis retryAfter { 0 }; // ms, until a slot is likely to be free
    size_t requestsAhead = 0; // queued requests that precede it
    size_t targets = 0; // targets available to it
};

// A request that needs a slot on a target.
struct PlacementRequest {
    uint64_t id = 0;
    std::string service;
    std::string model; // empty for plain endpoints
    std::string organisation; // empty if the caller belongs to none
    uint32_t organisationKey = 0; // set by the dispatcher: OrganisationShares::keyOf() of the organisation
    double workMs = 0; // ms of engine time, estimated; 0: unknown, the dispatcher sets the mean time that a request holds a slot
    int priority = 5; // 0 is most urgent
    Millis arrivedAt { 0 };
    Millis objectiveAt { 0 }; // a response that starts later is late
    Millis deadlineAt { 0 }; // a response that ends later is of no use
    bool hasResponseStarted = false; // part of the response reached the caller: it may wait for a slot until deadlineAt
    bool isLate = false; // set by the dispatcher: the response would start after objectiveAt
    bool yieldsToUrgent = false; // set by the dispatcher: more urgent requests for the model arrived recently
    std::set<std::string> excludedEndpoints; // ids of endpoints that already failed this request
    uint32_t promptTokens = 0; // prompt length in tokens; 0: unknown
    Millis gapTarget { 0 }; // ms, longest allowed pause between two events of the response; 0: no limit
    std::function<void(const Target&)> onPlaced; // a slot on this target is reserved for the request
    std::function<void(const PlacementRefusal&)> onRefused; // the request was not sent
};

// A request that this node placed on a target and that has not ended.
struct PlacedRequest {
    uint64_t id = 0;
    Millis placedAt { 0 };
    double promptMs = 0; // ms, to process its prompt
    double promptDoneAtMs = 0; // time in ms at which its prompt is processed, after those placed before it

    auto operator<=>(const PlacedRequest&) const = default;
};

// A target and its load as known to this node.
struct TargetLoad {
    Target target;
    std::vector<PlacedRequest> placed; // by this node, in the order of their placement
    double peerRunning = 0; // requests of other nodes on the target, estimated
    Millis peerRunningUpdatedAt { 0 };
    double peerPromptsDoneAtMs = 0; // time in ms at which the prompts of other nodes are processed, as if in parallel to those of this node
    Millis lastResponseAt { 0 }; // when this node last received part of a response
    Millis suspectUntil { 0 }; // no request is placed on the target before this time
    Millis unavailableUntil { 0 }; // the same, as the endpoint announced itself
    double allowance = EndpointLimits::unlimited; // requests that the endpoint's request limit leaves to this node now
    uint32_t consecutiveFailures = 0;
    uint32_t consecutiveRejections = 0;

    // Adds a request that was placed on the target.
    void add(const PlacementRequest& request, Millis now);

    // Takes a request that ended off the load. Returns the time in ms that its prompt would still have taken, or nullopt if
    // the target doesn't have the request, because it was placed on an earlier incarnation.
    std::optional<double> remove(uint64_t id, Millis now);

    // Returns the number of requests of this node on the target.
    uint32_t running() const { return static_cast<uint32_t>(placed.size()); }

    // Returns the time in ms at which the prompts placed by this node are processed.
    double promptsDoneAtMs() const { return placed.empty() ? 0 : placed.back().promptDoneAtMs; }

    // Returns the placed request with this id; null if there is none.
    const PlacedRequest* find(uint64_t id) const;

    // Returns the number of occupied slots by the reports of the other nodes.
    double usedSlots() const { return running() + peerRunning; }

    // Returns the number of slots occupied by requests that this node knows of and that still run.
    double seenSlots(const LoadForecast& forecast) const { return running() + peerRunning * forecast.remainingFraction; }

    // Returns the expected number of occupied slots, if the requests that this node doesn't know of are spread evenly.
    double expectedSlots(const LoadForecast& forecast) const { return seenSlots(forecast) + forecast.unseenPerSlot * target.slots; }

    // Returns whether requests may be placed on the target, if it has a slot.
    bool isUsable(Millis now) const { return suspectUntil <= now && unavailableUntil <= now; }

    // Returns whether the endpoint limits its requests.
    bool isLimited() const { return allowance < EndpointLimits::unlimited; }

    // Returns the time in ms until all prompts placed on the target are processed.
    double promptWaitMs(Millis now) const;
};

// Load that one node places on one target.
struct TargetUsage {
    uint32_t running = 0; // requests
    uint32_t promptMs = 0; // ms, until the prompts of these requests are processed

    auto operator<=>(const TargetUsage&) const = default;
};

// The load that a node reports.
struct PeerUsage {
    std::map<uint32_t, TargetUsage> byTarget; // by hashTarget() of the target's id
    std::map<uint32_t, uint32_t> waitingByModel; // queued requests, by hashModel(); models without any are left out
    Millis receivedAt { 0 };
};

// Returns the hash that identifies a target in messages between nodes.
uint32_t hashTarget(const std::string& targetId);

// Returns the hash that identifies a model of a service in messages between nodes.
uint32_t hashModel(const std::string& service, const std::string& model);

// Returns how many of the free targets to compare. Between two usage reports all nodes know the same loads; if each
// chose the best of all targets, they would overload the same one. So each node samples, and the fewer, the more requests
// the other nodes place before it knows of them.
size_t sampleSize(size_t freeTargets, double unseenRequests);

// ms. The placement of a prompt that takes longer than this is published to the other nodes immediately.
inline constexpr double longPromptMs = 15;

// Returns whether the target is usable and not excluded, and has a free slot and enough prompt budget for the request.
bool canAccept(const TargetLoad& load, const PlacementRequest& request, Millis now, const LoadForecast& forecast);

// Returns the target for a request. While most of what the reports say still holds, it is the one with the shortest expected delay due to
// queued prompts and batch size among a random sample. With older reports it is drawn, each target with the probability with which it
// gets one of all requests that are placed meanwhile. Targets in the node's own failure domain are preferred when the delay is
// about equal. Returns null if no target has a free slot or all of them already failed the request.
const TargetLoad* chooseTarget(const std::vector<const TargetLoad*>& loads, const PlacementRequest& request, const std::string& ownDomain, Millis now, const LoadForecast& forecast, const Random& random);

} // namespace hemlockweir
