#include "proxy/Dispatcher.h"
#include "proxy/RetryDelay.h"

#include <algorithm>

// The part of Dispatcher that decides which requests may wait, and refuses the others.

namespace hemlockweir {

// Returns the moment of a decision about a free slot: with the prompts that wait where one is.
QueueMoment Dispatcher::placementMoment(const QueueKey& key, const Queue& queue) const
{
    QueueMoment moment = momentOf(queue);
    if (queue.waiting.empty())
        return moment;
    const TargetLoad* best = nullptr;
    for (const TargetLoad* load : loadsFor(key).local) {
        const bool isFree = load->isUsable(moment.now) && load->allowance >= 1 && load->usedSlots() + 1 <= load->target.slots + 0.5;
        if (isFree && (!best || load->promptWaitMs(moment.now) < best->promptWaitMs(moment.now)))
            best = load;
    }
    if (best) {
        moment.promptWaitMs = best->promptWaitMs(moment.now);
        moment.promptMsPerToken = best->target.promptMsPerToken;
    }
    return moment;
}

// Returns whether a request that has to wait is expected to start in time. The first request of an organisation below the mean
// use may always try: it is the load of others that makes the wait long, and its turn comes soon.
bool Dispatcher::canStartInTime(const Queue& queue, const PlacementRequest& request, const QueueMoment& moment) const
{
    // The start rate is unknown until a queued request has started; until then the queue may grow.
    const double startsPerSecond = queue.waiting.startsPerSecond(moment.now);
    if (startsPerSecond <= 0)
        return true;
    const Millis time = RequestQueue::latestStart(request, moment, options_.maxWaitObjectives) - moment.now;
    const double seconds = std::chrono::duration<double>(time).count();
    const bool isBelowMean = shares_.isBelowMeanUse(request.organisationKey, moment.now);
    const bool isTurnInTime = queue.waiting.expectAhead(request, moment) <= startsPerSecond * std::max(0.0, seconds);
    if (isTurnInTime && (isBelowMean || !queue.waiting.isShareTooSmall(request, moment, time)))
        return true;
    return seconds > 0 && isBelowMean && queue.waiting.countOf(request.organisationKey) == 0;
}

// Queues a request that found no slot, or refuses it, or one with less value if the queue is full.
void Dispatcher::enqueue(const QueueKey& key, PlacementRequest request)
{
    Queue& queue = queues_[key];
    const QueueMoment moment = momentOf(queue);
    const size_t before = queue.waiting.countAhead(request, moment);
    if (!request.hasResponseStarted && !canStartInTime(queue, request, moment)) {
        refuse(std::move(request), RefusalReason::QueueTooLong, before);
        return;
    }
    std::optional<PlacementRequest> displaced;
    if (!request.hasResponseStarted && queue.waiting.size() >= options_.maxWaiting) {
        displaced = queue.waiting.takeLeastValuable(request, moment);
        if (!displaced) {
            refuse(std::move(request), RefusalReason::QueueTooLong, before);
            return;
        }
    }
    const bool isFirst = queue.waiting.empty();
    queue.waiting.push(std::move(request), moment.now);
    // The other nodes leave a part of the contended slots to each node with waiting requests.
    if (isFirst && options_.onUsageChanged && !isOutdatedOnArrival(queue))
        options_.onUsageChanged();
    if (displaced)
        refuse(std::move(*displaced), RefusalReason::Displaced, queue.waiting.size());
}

void Dispatcher::refuse(PlacementRequest request, RefusalReason reason, size_t requestsAhead)
{
    const QueueKey key { request.service, request.model };
    const Millis now = options_.clock();
    RetryOutlook outlook { .timeLeft = request.deadlineAt - now };
    const auto found = queues_.find(key);
    if (reason != RefusalReason::TooLarge && reason != RefusalReason::NoTarget && found != queues_.end()) {
        RequestQueue& waiting = found->second.waiting;
        const double refused = waiting.noteRefusal(now);
        if (const double perSecond = waiting.startsPerSecond(now); perSecond > 0) {
            outlook.backlogMs = 1000.0 * static_cast<double>(std::max(requestsAhead, waiting.size()) + 1) / perSecond;
            outlook.refusedMs = 1000.0 * refused / perSecond;
        }
    }
    // Only another configuration would let a request run that is too large.
    const Millis retryAfter = reason == RefusalReason::TooLarge ? maxRetryAfter : chooseRetryAfter(outlook, options_.random);
    const PlacementRefusal refusal {
        .reason = reason,
        .retryAfter = untilAvailable(key) + retryAfter,
        .requestsAhead = requestsAhead,
        .targets = countTargets(request.service, request.model),
    };
    request.onRefused(refusal);
}

} // namespace hemlockweir
