#include "proxy/Dispatcher.h"

#include <algorithm>
#include <glog/logging.h>
#include <numeric>

namespace hemlockweir {

// The backoff of a failed target doubles with each consecutive failure, up to this many times.
static constexpr uint32_t maxBackoffDoublings = 2;
// Weight of the newest sample in the moving averages of the start interval and the time to first byte.
static constexpr double newSampleWeight = 0.1;
// Consecutive rejections, without a response between them, after which a target counts as failed.
static constexpr uint32_t rejectionsPerFailure = 3;
// Fraction of a target's slots in use above which nodes compete for the remaining ones.
static constexpr double contendedFraction = 0.75;

std::string_view refusalReasonName(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::NoTarget:
        return "no_target";
    case RefusalReason::TooLarge:
        return "too_large";
    case RefusalReason::QueueTooLong:
        return "queue_too_long";
    case RefusalReason::WaitedTooLong:
        return "waited_too_long";
    case RefusalReason::Displaced:
        return "displaced";
    }
    return "unknown";
}

Dispatcher::Dispatcher(Options options)
    : options_(std::move(options))
    , notices_({ .clock = options_.clock })
    , limits_({ .clock = options_.clock, .node = options_.node })
{
}

void Dispatcher::setTargets(const std::string& service, std::vector<Target> targets)
{
    if (const auto known = targets_.find(service); known != targets_.end() && known->second == targets) {
        tick();
        return;
    }
    targets_[service] = targets;
    std::map<std::string, TargetLoad> before;
    for (auto it = loads_.begin(); it != loads_.end();) {
        if (it->second.target.service == service)
            before.insert(loads_.extract(it++));
        else
            ++it;
    }
    for (const Target& target : targets) {
        const auto old = before.find(target.id);
        TargetLoad load;
        if (old != before.end() && old->second.target.isSameTarget(target))
            load = std::move(old->second);
        load.target = target;
        load.unavailableUntil = notices_.unavailableUntil(target.id, target.startedAtMs);
        loads_[target.id] = std::move(load);
    }
    indexLoads();
    noteColdTargets(targets);
    if (!peers_.empty())
        recomputePeerLoad();
    tick();
}

bool Dispatcher::isTarget(const Target& target) const
{
    const auto found = loads_.find(target.id);
    return found != loads_.end() && found->second.target.isSameTarget(target);
}

void Dispatcher::submit(PlacementRequest request)
{
    const QueueKey key { request.service, request.model };
    if (isTooLarge(request)) {
        refuse(std::move(request), RefusalReason::TooLarge, 0);
        return;
    }
    // Callers choose the names of models: only those with targets get a queue. A started response had a target.
    if (queues_.count(key) == 0 && loadsByModel_.count(key) == 0 && (!request.hasResponseStarted || queues_.size() >= options_.maxQueues)) {
        refuse(std::move(request), RefusalReason::NoTarget, 0);
        return;
    }
    Queue& queue = queues_[key];
    updateUrgency(queue, request.priority);
    request.organisationKey = shares_.keyOf(request.organisation);
    if (request.workMs <= 0)
        request.workMs = queue.holdMs > 0 ? queue.holdMs : 1;
    const bool hadWaiting = !queue.waiting.empty();
    if (queue.waiting.countAhead(request, placementMoment(key, queue)) == 0 && tryPlace(request)) {
        if (!hadWaiting)
            queue.waiting.noteFreeSlot(options_.clock());
        return;
    }
    const size_t targets = countTargets(request.service, request.model);
    if (targets == 0 && !request.hasResponseStarted) {
        refuse(std::move(request), RefusalReason::NoTarget, queue.waiting.size());
        return;
    }
    enqueue(key, std::move(request));
}

void Dispatcher::updateUrgency(Queue& queue, int priority)
{
    const Millis now = options_.clock();
    if (priority > queue.mostUrgentPriority && now - queue.mostUrgentAt < options_.urgencyWindow)
        return;
    queue.mostUrgentPriority = priority;
    queue.mostUrgentAt = now;
}

void Dispatcher::cancel(uint64_t id)
{
    for (auto& [key, queue] : queues_) {
        if (queue.waiting.remove(id, options_.clock()))
            return;
    }
}

size_t Dispatcher::waitingCount() const
{
    return std::accumulate(queues_.begin(), queues_.end(), size_t(0), [](size_t sum, const auto& entry) { return sum + entry.second.waiting.size(); });
}

// Places a request if a target has a slot for it. Where slots are contended, a request goes to the target that `freed` one
// for this node, if any: the other nodes see few free slots too, and would meet on them.
bool Dispatcher::tryPlace(PlacementRequest& request, const TargetLoad* freed)
{
    const Millis now = options_.clock();
    if (peers_.empty()) {
        for (auto& [id, load] : loads_) {
            if (load.peerRunningUpdatedAt == now)
                continue;
            load.peerRunning = currentPeerRunning(load);
            load.peerRunningUpdatedAt = now;
        }
    }
    const Queue& queue = queues_[{ request.service, request.model }];
    request.isLate = !request.hasResponseStarted && isLate(queue, request);
    request.yieldsToUrgent = !request.hasResponseStarted && request.priority > queue.mostUrgentPriority && now - queue.mostUrgentAt < options_.urgencyWindow;
    const QueueKey key { request.service, request.model };
    const LoadForecast forecast = forecastFor(key, queue);
    bool isClaim = false;
    bool takesFreed = false;
    if (!request.hasResponseStarted && !peers_.empty()) {
        const bool holds = reportsHold(queue);
        FreeSlots freeSlots = countFreeSlots(key, forecast, holds);
        const bool isReserved = now < queue.reservedUntil;
        if (isReserved)
            freeSlots = { .all = std::max(0.0, freeSlots.all - 1), .assured = std::max(0.0, freeSlots.assured - 1) };
        // While requests last longer than reports are old, any other node may want a slot before it tells.
        const auto rivals = static_cast<double>(holds ? peers_.size() : countWaitingPeers(key));
        isClaim = freeSlots.assured * slotUsesPerReport(queue) < 1 + rivals;
        takesFreed = isClaim && freed && !freed->target.isSpanning() && canAccept(*freed, request, now, forecast);
        if (isClaim && !takesFreed && ((isReserved && freeSlots.all < 1) || !mayClaim(queues_[key], freeSlots.all, rivals + forecast.unseenRequests)))
            return tryPlaceOnSpanning(request, queue);
    }
    const TargetLoad* chosen = takesFreed ? freed : chooseTarget(loadsFor(key).local, request, options_.domain, now, forecast, options_.random);
    if (!chosen)
        return tryPlaceOnSpanning(request, queue);
    if (isClaim)
        queues_[key].claims -= 1;
    if (!takesFreed && !isRunningAny(key))
        queues_[key].timeSliceStart = now;
    place(std::move(request), loads_.at(chosen->target.id));
    return true;
}

// Places a request that found no slot on the other replicas of its model on one that spans fabric domains, if a response
// from there is not late only because of it.
bool Dispatcher::tryPlaceOnSpanning(PlacementRequest& request, const Queue& queue)
{
    const std::vector<const TargetLoad*>& loads = loadsFor({ request.service, request.model }).spanning;
    if (loads.empty())
        return false;
    const Millis now = options_.clock();
    const Millis firstByte(static_cast<int64_t>(queue.firstByteMs * loads.front()->target.timeFactor));
    if (!request.hasResponseStarted && !request.isLate && now + firstByte >= request.objectiveAt)
        return false;
    const TargetLoad* chosen = chooseTarget(loads, request, options_.domain, now, forecastFor({ request.service, request.model }, queue), options_.random);
    if (!chosen)
        return false;
    place(std::move(request), loads_.at(chosen->target.id));
    return true;
}

void Dispatcher::place(PlacementRequest request, TargetLoad& load)
{
    Queue& queue = queues_[{ request.service, request.model }];
    queue.promptTokens += newSampleWeight * (request.promptTokens - queue.promptTokens);
    shares_.charge(request.organisationKey, request.workMs, options_.clock());
    load.add(request, options_.clock());
    useAllowance(load);
    const Target target = load.target;
    reportChange(load, load.placed.back().promptMs);
    request.onPlaced(target); // may change the targets
}

// Publishes the usage immediately when a long prompt came or went, or few slots are left: the other nodes place their
// requests by it.
void Dispatcher::reportChange(const TargetLoad& load, double promptMs)
{
    const bool isContended = load.usedSlots() >= contendedFraction * load.target.slots && !isOutdatedOnArrival(queues_[{ load.target.service, load.target.model }]);
    if (options_.onUsageChanged && (promptMs > longPromptMs || isContended))
        options_.onUsageChanged();
}

void Dispatcher::release(const std::string& targetId, uint64_t id)
{
    const auto found = loads_.find(targetId);
    if (found == loads_.end())
        return;
    TargetLoad& load = found->second;
    const QueueKey key { load.target.service, load.target.model };
    const std::optional<double> promptLeftMs = load.remove(id, options_.clock());
    if (!promptLeftMs)
        return;
    Queue& queue = queues_[key];
    if (queue.waiting.empty() || *promptLeftMs > longPromptMs)
        reportChange(load, *promptLeftMs);
    if (queue.waiting.empty())
        return;
    if (load.target.isSpanning() || keepsFreedSlot(key, queue, load))
        placeWaiting(key, &load);
}

void Dispatcher::noteAnswered(const std::string& targetId, uint64_t id)
{
    const auto found = loads_.find(targetId);
    const PlacedRequest* placed = found == loads_.end() ? nullptr : found->second.find(id);
    if (!placed)
        return;
    Queue& queue = queues_[{ found->second.target.service, found->second.target.model }];
    // Below a ms the resolution of the clock decides.
    const double sample = std::max(1.0, static_cast<double>((options_.clock() - placed->placedAt).count()));
    queue.holdMs = queue.holdMs > 0 ? queue.holdMs + newSampleWeight * (sample - queue.holdMs) : sample;
}

void Dispatcher::noteFailure(const std::string& targetId, bool isUnresponsive)
{
    const auto found = loads_.find(targetId);
    if (found == loads_.end())
        return;
    TargetLoad& load = found->second;
    load.suspectUntil = options_.clock() + options_.suspectBackoff * (1 << std::min(load.consecutiveFailures, maxBackoffDoublings));
    ++load.consecutiveFailures;
    if (options_.onSuspect)
        options_.onSuspect(load.target, isUnresponsive);
}

void Dispatcher::noteSilence(const std::string& targetId)
{
    const auto found = loads_.find(targetId);
    if (found != loads_.end() && options_.onSuspect)
        options_.onSuspect(found->second.target, false);
}

bool Dispatcher::hasTargetBeside(const std::string& service, const std::string& model, const std::set<std::string>& endpoints) const
{
    const Millis now = options_.clock();
    const auto isCandidate = [&](const TargetLoad* load) { return load->isUsable(now) && endpoints.count(load->target.id) == 0; };
    const ModelLoads& loads = loadsFor({ service, model });
    return std::any_of(loads.local.begin(), loads.local.end(), isCandidate) || std::any_of(loads.spanning.begin(), loads.spanning.end(), isCandidate);
}

void Dispatcher::noteRejection(const std::string& targetId)
{
    const auto found = loads_.find(targetId);
    if (found == loads_.end())
        return;
    TargetLoad& load = found->second;
    if (++load.consecutiveRejections >= rejectionsPerFailure) {
        noteFailure(targetId, false);
        return;
    }
    load.suspectUntil = std::max(load.suspectUntil, options_.clock() + options_.rejectionBackoff);
}

bool Dispatcher::noteLeaving(const Target& target)
{
    const bool isNews = notices_.noteLeaving(target.id, target.startedAtMs);
    applyNotice(target);
    return isNews;
}

void Dispatcher::notePause(const Target& target, Millis time)
{
    notices_.notePause(target.id, target.startedAtMs, time);
    applyNotice(target);
    const auto found = loads_.find(target.id);
    if (found != loads_.end() && found->second.unavailableUntil > options_.clock())
        found->second.consecutiveFailures = std::max(found->second.consecutiveFailures, 1U);
}

void Dispatcher::applyNotice(const Target& target)
{
    const auto found = loads_.find(target.id);
    if (found != loads_.end() && found->second.target.startedAtMs == target.startedAtMs)
        found->second.unavailableUntil = notices_.unavailableUntil(target.id, target.startedAtMs);
}

void Dispatcher::notePeerFailure(uint32_t target)
{
    const auto found = loadsByHash_.find(target);
    if (found == loadsByHash_.end())
        return;
    TargetLoad& load = *found->second;
    const Millis now = options_.clock();
    if (now - load.lastResponseAt <= options_.recentResponseWindow)
        return;
    // The backoff differs from node to node, and the first request is a probe: if it fails, the others learn of it before
    // they try.
    const auto spread = static_cast<int64_t>(options_.random() % static_cast<uint64_t>(options_.suspectBackoff.count() + 1));
    load.suspectUntil = std::max(load.suspectUntil, now + options_.suspectBackoff + Millis(spread));
    load.consecutiveFailures = std::max<uint32_t>(1, load.consecutiveFailures);
}

void Dispatcher::noteSuccess(const std::string& targetId)
{
    const auto found = loads_.find(targetId);
    if (found == loads_.end())
        return;
    if (found->second.unavailableUntil <= options_.clock())
        found->second.consecutiveFailures = 0;
    found->second.consecutiveRejections = 0;
    found->second.suspectUntil = Millis(0);
    found->second.lastResponseAt = options_.clock();
}

QueueMoment Dispatcher::momentOf(const Queue& queue) const
{
    return { .now = options_.clock(), .firstByteMs = queue.firstByteMs, .shares = &shares_, .nodes = static_cast<double>(peers_.size() + 1) };
}

bool Dispatcher::isLate(const Queue& queue, const PlacementRequest& request) const
{
    return RequestQueue::isLate(request, momentOf(queue));
}

void Dispatcher::noteFirstByte(const Target& target, Millis time)
{
    Queue& queue = queues_[{ target.service, target.model }];
    const double sample = static_cast<double>(time.count()) / target.timeFactor;
    queue.firstByteMs = queue.firstByteMs > 0 ? queue.firstByteMs + newSampleWeight * (sample - queue.firstByteMs) : sample;
}

// Places the queued requests of a model in order, the first one where a slot was `freed`. The callbacks may call submit() or
// release(); a nested call returns immediately, and the outer one continues.
void Dispatcher::placeWaiting(const QueueKey& key, const TargetLoad* freed)
{
    if (isPlacing_)
        return;
    isPlacing_ = true;
    Queue& queue = queues_[key];
    while (!queue.waiting.empty()) {
        PlacementRequest request = queue.waiting.takeNext(placementMoment(key, queue));
        const uint32_t organisation = request.organisationKey;
        if (tryPlace(request, std::exchange(freed, nullptr))) {
            queue.waiting.noteStart(organisation, options_.clock());
            continue;
        }
        queue.waiting.putBack(std::move(request));
        break;
    }
    isPlacing_ = false;
}

void Dispatcher::expire(Queue& queue)
{
    std::vector<PlacementRequest> expired = queue.waiting.takeExpired(momentOf(queue), options_.maxWaitObjectives);
    const size_t left = queue.waiting.size();
    for (PlacementRequest& request : expired)
        refuse(std::move(request), RefusalReason::WaitedTooLong, left);
}

// Drops the queues of models that have neither a target nor a waiting request.
void Dispatcher::dropUnusedQueues()
{
    // A callback that changes the targets may run while an outer call uses a queue.
    if (!isPlacing_)
        std::erase_if(queues_, [this](const auto& entry) { return entry.second.waiting.empty() && loadsByModel_.count(entry.first) == 0; });
}

void Dispatcher::tick()
{
    dropStalePeers();
    notices_.sweep();
    shares_.sweep(options_.clock());
    updateAllowances();
    std::vector<QueueKey> keys;
    for (const auto& [key, queue] : queues_) {
        if (!queue.waiting.empty())
            keys.push_back(key);
    }
    for (const QueueKey& key : keys) {
        placeWaiting(key);
        expire(queues_[key]);
    }
    dropUnusedQueues();
}

} // namespace hemlockweir
