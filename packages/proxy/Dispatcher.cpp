#include "proxy/Dispatcher.h"

#include <algorithm>
#include <cmath>
#include <glog/logging.h>

namespace hemlockweir {

// A refused caller that comes sooner finds the same queue; one that comes later gives up its objective.
static constexpr Millis leastRetryAfter { 100 };
static constexpr Millis mostRetryAfter { 2000 };
// The time for which a failed target gets nothing doubles with each failure, so often at most.
static constexpr uint32_t mostDoublings = 2;
// The weight of the newest interval in the average rate of starts.
static constexpr double newIntervalWeight = 0.1;
// Rejections in a row, without an answer between them, after which a target counts as failed.
static constexpr uint32_t rejectionsOfAFailure = 3;
// The part of a target's places from which on nodes contend for the rest.
static constexpr double contendedUse = 0.75;

std::string_view refusalReasonName(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::NoTarget:
        return "no_target";
    case RefusalReason::QueueTooLong:
        return "queue_too_long";
    case RefusalReason::WaitedTooLong:
        return "waited_too_long";
    }
    return "unknown";
}

Dispatcher::Dispatcher(Options options)
    : options_(std::move(options))
{
}

void Dispatcher::setTargets(const std::string& service, std::vector<Target> targets)
{
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
        if (old != before.end() && old->second.target.isSameAs(target))
            load = old->second;
        load.target = target;
        loads_[target.id] = std::move(load);
    }
    loadsByHash_.clear();
    for (auto& [id, load] : loads_)
        loadsByHash_[hashTarget(id)] = &load;
    if (!peers_.empty())
        updateOthers();
    tick();
}

// What a peer told so long ago has been read in part since.
static double promptMsLeft(const TargetUse& use, Millis age)
{
    return std::max(0.0, use.promptMs - static_cast<double>(age.count()));
}

void Dispatcher::replaceUse(uint32_t hash, const TargetUse& before, Millis heardBefore, const TargetUse& after)
{
    const auto found = loadsByHash_.find(hash);
    if (found == loadsByHash_.end())
        return;
    TargetLoad& load = *found->second;
    const Millis now = options_.clock();
    load.others = std::max(0.0, load.others + after.running - before.running);
    load.othersKnownAt = now;
    load.othersPromptsReadAt = std::max(load.othersPromptsReadAt, static_cast<double>(now.count())) + after.promptMs - promptMsLeft(before, now - heardBefore);
}

// One message changes what one node runs: only the targets that it names or named are looked at.
void Dispatcher::notePeer(const std::string& node, PeerUsage usage)
{
    if (peers_.empty()) {
        peers_.insert_or_assign(node, std::move(usage));
        updateOthers();
        return;
    }
    PeerUsage& before = peers_[node];
    for (const auto& [hash, use] : before.uses) {
        const auto after = usage.uses.find(hash);
        replaceUse(hash, use, before.heardAt, after == usage.uses.end() ? TargetUse {} : after->second);
    }
    for (const auto& [hash, use] : usage.uses) {
        if (before.uses.count(hash) == 0)
            replaceUse(hash, {}, usage.heardAt, use);
    }
    before = std::move(usage);
}

void Dispatcher::forgetSilentPeers()
{
    const Millis now = options_.clock();
    if (std::erase_if(peers_, [&](const auto& entry) { return now - entry.second.heardAt > options_.peerFreshness; }) > 0)
        updateOthers();
}

void Dispatcher::updateOthers()
{
    const Millis now = options_.clock();
    for (auto& [id, load] : loads_) {
        const uint32_t hash = hashTarget(id);
        double others = 0;
        double promptMs = 0;
        for (const auto& [node, peer] : peers_) {
            const auto found = peer.uses.find(hash);
            if (found == peer.uses.end())
                continue;
            others += found->second.running;
            promptMs += promptMsLeft(found->second, now - peer.heardAt);
        }
        load.others = others;
        load.othersKnownAt = now;
        load.othersPromptsReadAt = static_cast<double>(now.count()) + promptMs;
    }
}

std::map<uint32_t, TargetUse> Dispatcher::ownUsage() const
{
    const auto now = static_cast<double>(options_.clock().count());
    std::map<uint32_t, TargetUse> usage;
    for (const auto& [id, load] : loads_) {
        if (load.running > 0)
            usage.emplace(hashTarget(id), TargetUse { .running = load.running, .promptMs = static_cast<uint32_t>(std::max(0.0, load.promptsReadAt - now)) });
    }
    return usage;
}

// Other nodes' own words say what they run; without them an endpoint's last word fades.
double Dispatcher::othersNow(const TargetLoad& load) const
{
    if (!peers_.empty())
        return load.others;
    const auto age = static_cast<double>((options_.clock() - load.othersKnownAt).count());
    return load.others * std::exp2(-age / static_cast<double>(options_.othersHalfLife.count()));
}

std::vector<const TargetLoad*> Dispatcher::loadsFor(const std::string& service, const std::string& model) const
{
    std::vector<const TargetLoad*> found;
    for (const auto& [id, load] : loads_) {
        if (load.target.service == service && load.target.model == model)
            found.push_back(&load);
    }
    return found;
}

size_t Dispatcher::countTargets(const std::string& service, const std::string& model) const
{
    const Millis now = options_.clock();
    const std::vector<const TargetLoad*> loads = loadsFor(service, model);
    return static_cast<size_t>(std::count_if(loads.begin(), loads.end(), [&](const TargetLoad* load) { return load->suspectUntil <= now; }));
}

void Dispatcher::submit(Ticket ticket)
{
    const QueueKey key { ticket.service, ticket.model };
    Queue& queue = queues_[key];
    noteUrgency(queue, ticket.priority);
    if (countBefore(queue, ticket) == 0 && tryPlace(ticket))
        return;
    const size_t targets = countTargets(ticket.service, ticket.model);
    if (targets == 0 && !ticket.isBegun) {
        refuse(std::move(ticket), RefusalReason::NoTarget, queue.waiting.size());
        return;
    }
    const size_t before = countBefore(queue, ticket);
    const double seconds = std::chrono::duration<double>(latestStart(queue, ticket) - options_.clock()).count();
    // The rate is known once places have been waited for; until then the queue may grow.
    const bool isHopeless = queue.startsPerSecond > 0 && static_cast<double>(before) > queue.startsPerSecond * std::max(0.0, seconds);
    if (!ticket.isBegun && (isHopeless || queue.waiting.size() >= options_.maxWaiting)) {
        refuse(std::move(ticket), RefusalReason::QueueTooLong, before);
        return;
    }
    if (queue.waiting.empty())
        queue.waitingSince = options_.clock();
    queue.waiting.push_back(std::move(ticket));
    ++waitingCount_;
}

void Dispatcher::noteUrgency(Queue& queue, int priority)
{
    const Millis now = options_.clock();
    if (priority > queue.mostUrgent && now - queue.urgentAt < options_.urgentTime)
        return;
    queue.mostUrgent = priority;
    queue.urgentAt = now;
}

void Dispatcher::cancel(uint64_t id)
{
    for (auto& [key, queue] : queues_) {
        const auto found = std::find_if(queue.waiting.begin(), queue.waiting.end(), [id](const Ticket& ticket) { return ticket.id == id; });
        if (found == queue.waiting.end())
            continue;
        queue.waiting.erase(found);
        --waitingCount_;
        return;
    }
}

bool Dispatcher::tryPlace(Ticket& ticket)
{
    const Millis now = options_.clock();
    for (auto& [id, load] : loads_) {
        if (load.othersKnownAt == now || !peers_.empty())
            continue;
        load.others = othersNow(load);
        load.othersKnownAt = now;
    }
    const Queue& queue = queues_[{ ticket.service, ticket.model }];
    ticket.isLate = !ticket.isBegun && isLate(queue, ticket);
    ticket.yields = !ticket.isBegun && ticket.priority > queue.mostUrgent && now - queue.urgentAt < options_.urgentTime;
    const TargetLoad* chosen = chooseTarget(loadsFor(ticket.service, ticket.model), ticket, options_.domain, now, peers_.size() + 1, options_.random);
    if (!chosen)
        return false;
    place(std::move(ticket), loads_.at(chosen->target.id));
    return true;
}

void Dispatcher::place(Ticket ticket, TargetLoad& load)
{
    ++load.running;
    const Target target = load.target;
    const double promptMs = target.promptMs(ticket.promptTokens);
    load.promptsReadAt = std::max(load.promptsReadAt, static_cast<double>(options_.clock().count())) + promptMs;
    if (promptMs > longPromptMs && options_.onUseChanged)
        options_.onUseChanged();
    else
        tellUse(load);
    ticket.onPlaced(target); // may change the targets
}

// The last free places of a target are told at once, so that nodes don't meet there.
void Dispatcher::tellUse(const TargetLoad& load)
{
    if (options_.onUseChanged && load.used() >= contendedUse * load.target.slots)
        options_.onUseChanged();
}

// When a refused caller finds a place: not before the work ahead of it has started, and in an overload,
// which lasts for seconds, as late as it can and still be answered. Spread, so that not all return at once.
Millis Dispatcher::returnTime(const Ticket& ticket, Millis wait)
{
    const Millis left = std::max(Millis(0), ticket.giveUpAt - options_.clock());
    const auto most = static_cast<double>(std::min(mostRetryAfter, left * 3 / 10).count());
    const double spread = 0.5 + 0.5 * static_cast<double>(options_.random() % 1000) / 1000;
    return std::clamp(std::max(wait, Millis(static_cast<int64_t>(most * spread))), leastRetryAfter, mostRetryAfter);
}

void Dispatcher::refuse(Ticket ticket, RefusalReason reason, size_t waitingBefore)
{
    const Queue& queue = queues_[{ ticket.service, ticket.model }];
    Millis wait = leastRetryAfter;
    if (reason != RefusalReason::NoTarget && queue.startsPerSecond > 0)
        wait = Millis(static_cast<int64_t>(1000.0 * static_cast<double>(waitingBefore + 1) / queue.startsPerSecond));
    const PlaceRefusal refusal {
        .reason = reason,
        .retryAfter = returnTime(ticket, wait),
        .waitingBefore = waitingBefore,
        .targets = countTargets(ticket.service, ticket.model),
    };
    ticket.onRefused(refusal);
}

void Dispatcher::release(const std::string& targetId)
{
    const auto found = loads_.find(targetId);
    if (found == loads_.end())
        return;
    TargetLoad& load = found->second;
    if (load.running > 0)
        --load.running;
    const QueueKey key { load.target.service, load.target.model };
    const bool isWanted = !queues_[key].waiting.empty();
    if (isWanted)
        pump(key);
    else
        tellUse(load);
}

void Dispatcher::noteLoad(const std::string& targetId, uint32_t running, uint32_t waiting)
{
    const auto found = loads_.find(targetId);
    if (found == loads_.end() || !peers_.empty())
        return;
    TargetLoad& load = found->second;
    load.others = std::max(0.0, static_cast<double>(running) + waiting - load.running);
    load.othersKnownAt = options_.clock();
}

void Dispatcher::noteFailure(const std::string& targetId, bool isSilent)
{
    const auto found = loads_.find(targetId);
    if (found == loads_.end())
        return;
    TargetLoad& load = found->second;
    load.suspectUntil = options_.clock() + options_.suspectTime * (1 << std::min(load.failures, mostDoublings));
    ++load.failures;
    if (options_.onSuspect)
        options_.onSuspect(load.target, isSilent);
}

void Dispatcher::noteRejection(const std::string& targetId)
{
    const auto found = loads_.find(targetId);
    if (found == loads_.end())
        return;
    TargetLoad& load = found->second;
    if (++load.rejections >= rejectionsOfAFailure) {
        noteFailure(targetId, false);
        return;
    }
    load.suspectUntil = std::max(load.suspectUntil, options_.clock() + options_.rejectedTime);
}

void Dispatcher::notePeerFailure(uint32_t target)
{
    const auto found = loadsByHash_.find(target);
    if (found == loadsByHash_.end())
        return;
    TargetLoad& load = *found->second;
    const Millis now = options_.clock();
    if (now - load.heardAt > options_.livelyTime)
        load.suspectUntil = std::max(load.suspectUntil, now + options_.suspectTime);
}

void Dispatcher::noteSuccess(const std::string& targetId)
{
    const auto found = loads_.find(targetId);
    if (found == loads_.end())
        return;
    found->second.failures = 0;
    found->second.rejections = 0;
    found->second.suspectUntil = Millis(0);
    found->second.heardAt = options_.clock();
}

// After that it yields its place to work that can be on time.
Millis Dispatcher::latestStart(const Queue& queue, const Ticket& ticket) const
{
    if (ticket.isBegun)
        return ticket.giveUpAt;
    if (queue.firstByteMs > 0)
        return std::min(ticket.giveUpAt, std::max(ticket.arrivedAt, ticket.objectiveAt - Millis(static_cast<int64_t>(queue.firstByteMs))));
    const auto objective = static_cast<double>((ticket.objectiveAt - ticket.arrivedAt).count());
    const Millis patience(static_cast<int64_t>(objective * options_.lateFactor));
    return std::min(ticket.arrivedAt + patience, ticket.giveUpAt);
}

// Whether one goes before the other: the more urgent, then the one that can still be on time, then
// the one whose objective ends first. What an answer takes to begin counts: in a queue served by
// objective alone, each request would get its place just too late.
bool Dispatcher::goesBefore(const Queue& queue, const Ticket& one, const Ticket& other) const
{
    if (one.priority != other.priority)
        return one.priority < other.priority;
    const bool isOneLate = isLate(queue, one);
    const bool isOtherLate = isLate(queue, other);
    if (isOneLate != isOtherLate)
        return isOtherLate;
    return one.objectiveAt < other.objectiveAt;
}

bool Dispatcher::isLate(const Queue& queue, const Ticket& ticket) const
{
    return ticket.objectiveAt <= options_.clock() + Millis(static_cast<int64_t>(queue.firstByteMs));
}

void Dispatcher::noteFirstByte(const std::string& service, const std::string& model, Millis time)
{
    Queue& queue = queues_[{ service, model }];
    const auto sample = static_cast<double>(time.count());
    queue.firstByteMs = queue.firstByteMs > 0 ? queue.firstByteMs + newIntervalWeight * (sample - queue.firstByteMs) : sample;
}

size_t Dispatcher::countBefore(const Queue& queue, const Ticket& ticket) const
{
    return static_cast<size_t>(std::count_if(queue.waiting.begin(), queue.waiting.end(), [&](const Ticket& other) { return !goesBefore(queue, ticket, other); }));
}

std::list<Ticket>::iterator Dispatcher::findNext(Queue& queue)
{
    return std::min_element(queue.waiting.begin(), queue.waiting.end(), [&](const Ticket& one, const Ticket& other) { return goesBefore(queue, one, other); });
}

void Dispatcher::noteStart(Queue& queue)
{
    const Millis now = options_.clock();
    // Only time in which something waited says how often places become free.
    const Millis since = std::max(queue.lastStartAt, queue.waitingSince);
    const double seconds = std::max(0.001, std::chrono::duration<double>(now - since).count());
    queue.lastStartAt = now;
    const double rate = std::min(1000.0, 1 / seconds);
    // Harmonic: the average of intervals, so that two starts at once don't look like a thousand a second.
    const double interval = queue.startsPerSecond > 0 ? 1 / queue.startsPerSecond : 1 / rate;
    queue.startsPerSecond = 1 / (interval + newIntervalWeight * (1 / rate - interval));
}

// Places what waits for a model, in order. Hooks may submit or release again; the outer call goes on.
void Dispatcher::pump(const QueueKey& key)
{
    if (isPumping_)
        return;
    isPumping_ = true;
    Queue& queue = queues_[key];
    while (!queue.waiting.empty()) {
        const auto next = findNext(queue);
        Ticket ticket = std::move(*next);
        queue.waiting.erase(next);
        --waitingCount_;
        if (tryPlace(ticket)) {
            noteStart(queue);
            continue;
        }
        queue.waiting.push_back(std::move(ticket));
        ++waitingCount_;
        break;
    }
    isPumping_ = false;
}

void Dispatcher::expire(Queue& queue)
{
    const Millis now = options_.clock();
    std::vector<Ticket> expired;
    for (auto it = queue.waiting.begin(); it != queue.waiting.end();) {
        if (latestStart(queue, *it) > now) {
            ++it;
            continue;
        }
        expired.push_back(std::move(*it));
        it = queue.waiting.erase(it);
        --waitingCount_;
    }
    for (Ticket& ticket : expired)
        refuse(std::move(ticket), RefusalReason::WaitedTooLong, queue.waiting.size());
}

void Dispatcher::tick()
{
    forgetSilentPeers();
    std::vector<QueueKey> keys;
    for (const auto& [key, queue] : queues_) {
        if (!queue.waiting.empty())
            keys.push_back(key);
    }
    for (const QueueKey& key : keys) {
        pump(key);
        expire(queues_[key]);
    }
}

} // namespace hemlockweir
