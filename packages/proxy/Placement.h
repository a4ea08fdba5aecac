#pragma once

#include "base/Clock.h"
#include "proxy/Target.h"

#include <functional>
#include <map>
#include <set>

// Where a request runs: the load of each target, as far as this node knows it, and the choice among them.

namespace hemlockweir {

// Why a request was refused.
enum class RefusalReason : uint8_t {
    NoTarget, // no endpoint or replica can serve it now
    QueueTooLong, // more work waits before it than can start in time
    WaitedTooLong, // its turn did not come in time
};

std::string_view refusalReasonName(RefusalReason reason);

struct PlacementRefusal {
    RefusalReason reason = RefusalReason::NoTarget;
    Millis retryAfter { 0 }; // ms, until a place is likely
    size_t requestsAhead = 0; // requests that go before it
    size_t targets = 0; // that could serve it
};

// A request that wants a place.
struct PlacementRequest {
    uint64_t id = 0;
    std::string service;
    std::string model; // empty: a plain endpoint
    int priority = 5; // 0 is most urgent
    Millis arrivedAt { 0 };
    Millis objectiveAt { 0 }; // its answer is on time until then
    Millis deadlineAt { 0 }; // an answer is of no use after that
    bool hasResponseStarted = false; // its answer has begun: it waits for a place as long as an answer is of use
    bool isLate = false; // its answer would begin after its objective
    bool yieldsToUrgent = false; // more urgent work for the same model comes of late
    std::set<std::string> excludedEndpoints; // endpoints that failed it
    uint32_t promptTokens = 0; // that an engine reads before it answers; 0: not known
    Millis gapTarget { 0 }; // ms, longest pause between two events of its answer; 0: none
    std::function<void(const Target&)> onPlaced;
    std::function<void(const PlacementRefusal&)> onRefused; // not run
};

// One target with what is known of its load.
struct TargetLoad {
    Target target;
    uint32_t running = 0; // requests of this node
    double peerRunning = 0; // requests of other nodes, estimated
    Millis peerRunningUpdatedAt { 0 };
    double promptsDoneAtMs = 0; // ms, when it will have read the prompts that this node placed there
    double peerPromptsDoneAtMs = 0; // ms, the same for other nodes, as if read side by side
    Millis lastResponseAt { 0 }; // when it last sent part of an answer
    Millis suspectUntil { 0 }; // nothing is placed there before
    uint32_t consecutiveFailures = 0; // in a row
    uint32_t consecutiveRejections = 0; // in a row

    double usedSlots() const { return running + peerRunning; }

    // Until it has read all prompts that are placed there, ms.
    double promptWaitMs(Millis now) const;
};

// What a node runs on one target.
struct TargetUsage {
    uint32_t running = 0; // requests
    uint32_t promptMs = 0; // ms, until their prompts are read

    auto operator<=>(const TargetUsage&) const = default;
};

// What another node says it runs on each target, by the target's name hash.
struct PeerUsage {
    std::map<uint32_t, TargetUsage> byTarget;
    Millis receivedAt { 0 };
};

// The short name of a target between nodes.
uint32_t hashTarget(const std::string& targetId);

// How many of the free targets are compared for a request of so many ms of prompt. All nodes see the
// same picture until they have told each other: if each took the best of all, they would meet there.
// A long prompt is told at once and delays all that runs on its target, so all targets are compared.
size_t sampleSize(size_t freeTargets, size_t nodes, double promptMs);

// A prompt that takes a target longer than this to read is told to the other nodes at once.
inline constexpr double longPromptMs = 15;

// The target for a ticket: of some drawn by chance the one where it waits least, for the prompts before
// it and for its turns among what runs there, in the own domain if that is as good. Null if none has a
// free place, or all failed the ticket.
const TargetLoad* chooseTarget(const std::vector<const TargetLoad*>& loads, const PlacementRequest& request, const std::string& ownDomain, Millis now, size_t nodes, const Random& random);

} // namespace hemlockweir
