#pragma once

#include "proxy/OrganisationShares.h"
#include "proxy/Placement.h"

#include <list>

// The requests for one model that wait for a slot: their order, how many go before another, when they expire, at what rate
// they start, and which is refused when too many wait. Handles the load of a burst: more requests than the slots serve in
// time. Performs no I/O; the time is passed in.

namespace hemlockweir {

// What the order of a queue depends on at the time of a call.
struct QueueMoment {
    Millis now { 0 };
    double firstByteMs = 0; // ms, expected time from placement to the first byte; 0: unknown
    const OrganisationShares* shares = nullptr; // null: all organisations count as one
    double nodes = 1; // that place requests of the same organisations at the same time
    double promptWaitMs = 0; // ms, shortest wait for prompts at a target with a free slot
    double promptMsPerToken = 0; // ms per token of a prompt there
};

class RequestQueue {
public:
    // Returns whether the response would start after its objective if the request was placed now.
    static bool isLate(const PlacementRequest& request, const QueueMoment& moment);

    // Returns the latest time at which a queued request may get a slot. After that it is refused, so that requests that can
    // still be on time get the slot. `maxWaitObjectives` is the longest wait as a multiple of the objective, while the time
    // to the first byte is unknown.
    static Millis latestStart(const PlacementRequest& request, const QueueMoment& moment, double maxWaitObjectives);

    bool empty() const { return waiting_.empty(); }
    size_t size() const { return waiting_.size(); }

    // Adds a request.
    void push(PlacementRequest request, Millis now);

    // Removes a request; returns whether it was there.
    bool remove(uint64_t id, Millis now);

    // Removes and returns the request that goes first. The queue must not be empty. Call noteStart() or putBack() next.
    PlacementRequest takeNext(const QueueMoment& moment);

    // Returns a request that takeNext() returned and that found no slot.
    void putBack(PlacementRequest request) { insert(std::move(request)); }

    // Records that the request that takeNext() returned got a slot.
    void noteStart(uint32_t organisation, Millis now);

    // Removes and returns the requests whose latest start has passed.
    std::vector<PlacementRequest> takeExpired(const QueueMoment& moment, double maxWaitObjectives);

    // Removes and returns the request that has the least value, if that is less than the value of `request`: the lowest
    // priority, then the organisation with the largest use, then the latest objective. Responses that have started stay.
    std::optional<PlacementRequest> takeLeastValuable(const PlacementRequest& request, const QueueMoment& moment);

    // Returns how many requests go before this one now.
    size_t countAhead(const PlacementRequest& request, const QueueMoment& moment) const;

    // Returns how many requests are expected to start before this one. That differs from countAhead() because the use of an
    // organisation rises with each of its requests that starts.
    double expectAhead(const PlacementRequest& request, const QueueMoment& moment) const;

    // Returns how many requests of the organisation wait.
    size_t countOf(uint32_t organisation) const;

    // Returns whether an organisation's requests start too slowly for one that arrives: by the rate at which they started in the last
    // seconds, the ones of it that go first take longer than `time`. The requests of others that arrive later, and overtake them,
    // show only there.
    bool isShareTooSmall(const PlacementRequest& request, const QueueMoment& moment, Millis time) const;

    // Records that a request found a slot although none waited: what a slow spell left of the start rate no longer holds.
    void noteFreeSlot(Millis now);

    // Returns the rate at which queued requests started in the last seconds, counting only the time in which requests waited;
    // 0 if too few did to tell.
    double startsPerSecond(Millis now) const;

    // Counts a caller that was refused and may come back. Returns how many were counted lately.
    double noteRefusal(Millis now);

private:
    static constexpr Millis startRateTime { 2000 };
    static constexpr Millis refusalTime { 3000 };

    struct Rank;

    static Rank rankOf(const PlacementRequest& request, const QueueMoment& moment);
    void noteWaiting(Millis now);
    void insert(PlacementRequest request);
    PlacementRequest extract(std::list<PlacementRequest>::iterator at);

    // What one organisation got of the queue.
    struct Share {
        size_t waiting = 0; // requests
        DecayedSum starts { startRateTime };
        DecayedSum waitingSeconds { startRateTime }; // s in which requests of it waited
    };

    std::list<PlacementRequest> waiting_;
    // Both decay alike, so that their ratio is a mean over the last seconds.
    DecayedSum starts_ { startRateTime };
    DecayedSum waitingSeconds_ { startRateTime }; // s in which requests waited
    DecayedSum refusals_ { refusalTime };
    Millis waitingNotedAt_ { 0 };
    std::map<uint32_t, Share> shares_; // by organisation
};

} // namespace hemlockweir
