#include "proxy/Dispatcher.h"

#include <algorithm>
#include <cmath>

// The part of Dispatcher that keeps the load of the targets: what this node placed and what the other nodes reported.

namespace hemlockweir {

void Dispatcher::indexLoads()
{
    loadsByHash_.clear();
    loadsByModel_.clear();
    for (auto& [id, load] : loads_) {
        loadsByHash_[hashTarget(id)] = &load;
        ModelLoads& loads = loadsByModel_[{ load.target.service, load.target.model }];
        (load.target.isSpanning() ? loads.spanning : loads.local).push_back(&load);
    }
}

// Returns the prompt time that remains of a report of this age: the target has processed prompts since.
static double remainingPromptMs(const TargetUsage& use, Millis age)
{
    return std::max(0.0, use.promptMs - static_cast<double>(age.count()));
}

void Dispatcher::applyUsageChange(uint32_t hash, const TargetUsage& before, Millis receivedBefore, const TargetUsage& after)
{
    const auto found = loadsByHash_.find(hash);
    if (found == loadsByHash_.end())
        return;
    TargetLoad& load = *found->second;
    const Millis now = options_.clock();
    load.peerRunning = std::max(0.0, load.peerRunning + after.running - before.running);
    load.peerRunningUpdatedAt = now;
    load.peerPromptsDoneAtMs = std::max(load.peerPromptsDoneAtMs, static_cast<double>(now.count())) + after.promptMs - remainingPromptMs(before, now - receivedBefore);
    // The prompts of several nodes are added one after the other, but age at the same time: some of the sum stays.
    if (load.peerRunning <= 0)
        load.peerPromptsDoneAtMs = static_cast<double>(now.count());
}

// Updates only the targets in the previous and in the new report of the peer, since a report changes the usage of one
// node only.
void Dispatcher::updatePeerUsage(const std::string& node, PeerUsage usage)
{
    if (peers_.empty()) {
        peers_.insert_or_assign(node, std::move(usage));
        recomputePeerLoad();
        return;
    }
    PeerUsage& before = peers_[node];
    for (const auto& [hash, use] : before.byTarget) {
        const auto after = usage.byTarget.find(hash);
        applyUsageChange(hash, use, before.receivedAt, after == usage.byTarget.end() ? TargetUsage {} : after->second);
    }
    for (const auto& [hash, use] : usage.byTarget) {
        if (before.byTarget.count(hash) == 0)
            applyUsageChange(hash, {}, usage.receivedAt, use);
    }
    before = std::move(usage);
}

void Dispatcher::dropStalePeers()
{
    const Millis now = options_.clock();
    if (std::erase_if(peers_, [&](const auto& entry) { return now - entry.second.receivedAt > options_.peerUsageLifetime; }) > 0)
        recomputePeerLoad();
}

void Dispatcher::recomputePeerLoad()
{
    const Millis now = options_.clock();
    for (auto& [id, load] : loads_) {
        const uint32_t hash = hashTarget(id);
        double peerRunning = 0;
        double promptMs = 0;
        for (const auto& [node, peer] : peers_) {
            const auto found = peer.byTarget.find(hash);
            if (found == peer.byTarget.end())
                continue;
            peerRunning += found->second.running;
            promptMs += remainingPromptMs(found->second, now - peer.receivedAt);
        }
        load.peerRunning = peerRunning;
        load.peerRunningUpdatedAt = now;
        load.peerPromptsDoneAtMs = static_cast<double>(now.count()) + promptMs;
    }
}

PeerUsage Dispatcher::ownUsage() const
{
    const auto now = static_cast<double>(options_.clock().count());
    PeerUsage usage;
    for (const auto& [id, load] : loads_) {
        if (!load.placed.empty())
            usage.byTarget.emplace(hashTarget(id), TargetUsage { .running = load.running(), .promptMs = static_cast<uint32_t>(std::max(0.0, load.promptsDoneAtMs() - now)) });
    }
    for (const auto& [key, queue] : queues_) {
        if (!queue.waiting.empty())
            usage.waitingByModel.emplace(hashModel(key.first, key.second), static_cast<uint32_t>(queue.waiting.size()));
    }
    return usage;
}

std::map<std::string, double> Dispatcher::utilization(const std::string& service) const
{
    std::map<std::string, double> utilization;
    for (const auto& [key, loads] : loadsByModel_) {
        double slots = 0;
        double used = 0;
        size_t limited = 0;
        // Spanning replicas are used last, so they tell nothing about the need for others.
        for (const TargetLoad* load : loads.local) {
            // The slots of a limited endpoint can't be used at will.
            if (load->isLimited()) {
                ++limited;
                continue;
            }
            slots += load->target.slots;
            used += std::min<double>(load->target.slots, load->running() + currentPeerRunning(*load));
        }
        if (key.first == service && slots > 0)
            utilization[key.second] = used / slots;
        else if (key.first == service && limited > 0)
            utilization[key.second] = 1;
    }
    return utilization;
}

// Returns the load of other nodes on the target: the sum of their usage reports, or without any report the last load
// that the endpoint reported, with exponential decay.
double Dispatcher::currentPeerRunning(const TargetLoad& load) const
{
    if (!peers_.empty())
        return load.peerRunning;
    const auto age = static_cast<double>((options_.clock() - load.peerRunningUpdatedAt).count());
    return load.peerRunning * std::exp2(-age / static_cast<double>(options_.peerLoadHalfLife.count()));
}

const Dispatcher::ModelLoads& Dispatcher::loadsFor(const QueueKey& key) const
{
    static const ModelLoads none;
    const auto found = loadsByModel_.find(key);
    return found == loadsByModel_.end() ? none : found->second;
}

size_t Dispatcher::countTargets(const std::string& service, const std::string& model) const
{
    const Millis now = options_.clock();
    const auto countUsable = [now](const std::vector<const TargetLoad*>& loads) {
        return static_cast<size_t>(std::count_if(loads.begin(), loads.end(), [now](const TargetLoad* load) { return load->isUsable(now) && load->allowance > EndpointLimits::notShared; }));
    };
    const ModelLoads& loads = loadsFor({ service, model });
    return countUsable(loads.local) + countUsable(loads.spanning);
}

// Returns whether no target of the model has the memory for the prompt: each would reject it. The limit of the answer does
// not count, since an answer may end before it. A started response shows that its prompt was held.
bool Dispatcher::isTooLarge(const PlacementRequest& request) const
{
    const ModelLoads& loads = loadsFor({ request.service, request.model });
    const auto isFull = [&](const TargetLoad* load) { return !load->target.holdsPrompt(request.promptTokens); };
    const bool hasTargets = !loads.local.empty() || !loads.spanning.empty();
    return hasTargets && !request.hasResponseStarted && std::all_of(loads.local.begin(), loads.local.end(), isFull) && std::all_of(loads.spanning.begin(), loads.spanning.end(), isFull);
}

void Dispatcher::noteReportedLoad(const std::string& targetId, uint32_t running, uint32_t waiting)
{
    const auto found = loads_.find(targetId);
    if (found == loads_.end() || !peers_.empty())
        return;
    TargetLoad& load = found->second;
    load.peerRunning = std::max(0.0, static_cast<double>(running) + waiting - load.running());
    load.peerRunningUpdatedAt = options_.clock();
}

// Returns the time in ms until the first of the endpoints may be used, if all of them asked for a pause or have no allowance; 0 if
// all of them leave, too.
Millis Dispatcher::untilAvailable(const QueueKey& key)
{
    const Millis now = options_.clock();
    const ModelLoads& loads = loadsFor(key);
    std::optional<Millis> first;
    for (const auto* list : { &loads.local, &loads.spanning }) {
        for (const TargetLoad* load : *list) {
            const Target& target = load->target;
            const bool isAnnounced = load->unavailableUntil > now;
            if (!isAnnounced && load->allowance >= 1)
                return Millis(0);
            const Millis pauseEnd = notices_.pausedUntil(target.id, target.startedAtMs);
            const std::optional<Millis> wait = isAnnounced ? std::optional(pauseEnd - now) : limits_.untilAllowed(hashTarget(target.id), target.startedAtMs);
            if (wait && (!isAnnounced || *wait > Millis(0)))
                first = std::min(first.value_or(*wait), *wait);
        }
    }
    return first.value_or(Millis(0));
}

bool Dispatcher::noteRequestLimit(const Target& target, std::optional<double> perSecond, Millis sentAt)
{
    const bool isChange = limits_.noteAnswer(hashTarget(target.id), target.startedAtMs, perSecond, sentAt);
    if (isChange)
        updateAllowances();
    return isChange;
}

bool Dispatcher::noteCold(const Target& target, Millis time)
{
    const bool isNews = limits_.noteCold(hashTarget(target.id), target.startedAtMs, target.coldPerSecond, options_.clock() + std::min(time, target.maxColdTime));
    if (isNews)
        updateAllowances();
    return isNews;
}

void Dispatcher::noteColdTargets(const std::vector<Target>& targets)
{
    for (const Target& target : targets) {
        const bool isNews = limits_.noteCold(hashTarget(target.id), target.startedAtMs, target.coldPerSecond, target.coldUntil);
        if (isNews && options_.onCold)
            options_.onCold(target, target.coldUntil - options_.clock());
    }
}

void Dispatcher::applyLimitReports(const std::string& node, const std::vector<LimitReport>& reports)
{
    limits_.applyReports(node, reports);
    for (const LimitReport& report : reports) {
        const auto found = loadsByHash_.find(report.target);
        if (found != loadsByHash_.end())
            found->second->allowance = limits_.allowance(report.target, found->second->target.startedAtMs);
    }
}

void Dispatcher::updateAllowances()
{
    limits_.sweep([this](uint32_t target) { return loadsByHash_.count(target) > 0; });
    for (auto& [hash, load] : loadsByHash_)
        load->allowance = limits_.allowance(hash, load->target.startedAtMs);
}

// Takes a request off the allowance of its target, and publishes that soon: the nodes share the limit.
void Dispatcher::useAllowance(TargetLoad& load)
{
    if (!load.isLimited())
        return;
    const uint32_t hash = hashTarget(load.target.id);
    limits_.noteSent(hash);
    load.allowance = limits_.allowance(hash, load.target.startedAtMs);
    if (options_.onUsageChanged)
        options_.onUsageChanged();
}

} // namespace hemlockweir
