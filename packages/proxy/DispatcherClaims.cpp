#include "proxy/Dispatcher.h"

#include <algorithm>

// The part of Dispatcher that shares contended slots with the other nodes.

namespace hemlockweir {

// Contended slots that a node may take at once.
static constexpr double maxClaims = 3;
// How long a node may use its only slot of a model while others wait that have none, as a multiple of the age of the reports. Until
// another node learns that the slot is free, it is unused.
static constexpr double slotTimeSlice = 20;
// How long a node does not take a slot that it left to others, as a multiple of the age of the reports.
static constexpr double reservationTime = 2;

// Returns how old the reports of the other nodes are on average, in ms.
double Dispatcher::meanReportAgeMs() const
{
    const Millis now = options_.clock();
    double sum = 0;
    for (const auto& [node, peer] : peers_)
        sum += static_cast<double>((now - peer.receivedAt).count());
    return std::max(static_cast<double>(options_.minReportAge.count()), peers_.empty() ? 0 : sum / static_cast<double>(peers_.size()));
}

LoadForecast Dispatcher::forecastFor(const QueueKey& key, const Queue& queue) const
{
    if (peers_.empty())
        return {};
    double reported = 0;
    double slots = 0;
    for (const TargetLoad* load : loadsFor(key).local) {
        reported += load->peerRunning;
        slots += load->target.slots;
    }
    LoadForecast forecast = forecastLoad(reported, meanReportAgeMs(), queue.holdMs);
    // Recent reports are taken as they are. What counts then is only how many requests the other nodes start in the meantime.
    if (reportsHold(queue))
        forecast = { .unseenRequests = reported * static_cast<double>(options_.minReportAge.count()) / queue.holdMs };
    else
        forecast.unseenPerSlot = slots > 0 ? forecast.unseenRequests / slots : 0;
    forecast.typicalPromptTokens = queue.promptTokens;
    return forecast;
}

Dispatcher::FreeSlots Dispatcher::countFreeSlots(const QueueKey& key, const LoadForecast& forecast, bool reportsHold) const
{
    const Millis now = options_.clock();
    FreeSlots free;
    for (const TargetLoad* load : loadsFor(key).local) {
        if (!load->isUsable(now))
            continue;
        const double slots = std::max(0.0, std::min(load->allowance, load->target.slots - load->seenSlots(forecast)));
        free.all += slots;
        free.assured += assuredSlots(slots, forecast);
    }
    if (reportsHold)
        return { .all = free.all, .assured = free.all };
    free.all = std::max(0.0, free.all - forecast.unseenRequests);
    free.assured = std::max(0.0, free.assured - forecast.unseenRequests);
    return free;
}

// Returns the number of other nodes with waiting requests for the model.
size_t Dispatcher::countWaitingPeers(const QueueKey& key) const
{
    const uint32_t model = hashModel(key.first, key.second);
    return static_cast<size_t>(std::count_if(peers_.begin(), peers_.end(), [model](const auto& entry) { return entry.second.waitingByModel.count(model) > 0; }));
}

// Returns whether most of the requests that the other nodes reported still run.
bool Dispatcher::reportsHold(const Queue& queue) const
{
    return queue.holdMs > 0 && forecastLoad(1, meanReportAgeMs(), queue.holdMs).remainingFraction > comparableFraction;
}

// Returns how often a slot can be used between two reports of a node: at least once.
double Dispatcher::slotUsesPerReport(const Queue& queue) const
{
    return queue.holdMs > 0 ? std::max(1.0, meanReportAgeMs() / queue.holdMs) : 1;
}

// Returns whether a report of the load would no longer hold when it arrives: most of its requests have ended by then. Reports that are sent
// because many slots are in use would then show a higher load than the regular ones.
bool Dispatcher::isOutdatedOnArrival(const Queue& queue) const
{
    return slotUsesPerReport(queue) > 1;
}

// Returns whether this node may take one of the contended slots. All nodes see them free at the same time, e.g. those of a
// replica that has just opened, and without a limit each would send its queue there. Each claimant takes its part of them each time
// that they can be used again; a slot that this node freed itself is its own.
bool Dispatcher::mayClaim(Queue& queue, double freeSlots, double otherClaimants)
{
    const Millis now = options_.clock();
    const double part = freeSlots / (1 + std::min(static_cast<double>(peers_.size()), otherClaimants));
    const double interval = meanReportAgeMs() / slotUsesPerReport(queue);
    const double intervals = static_cast<double>((now - queue.claimsUpdatedAt).count()) / interval;
    queue.claimsUpdatedAt = now;
    queue.claims = std::min(maxClaims, queue.claims + part * std::min(1.0, intervals));
    return queue.claims >= 1;
}

// Returns whether this node uses a slot that it has just freed for its own waiting requests. Otherwise it leaves the slot to a node
// that has none: one at a time, and its only one after a time slice. Without this, nodes whose requests always wait would keep all
// slots.
bool Dispatcher::keepsFreedSlot(const QueueKey& key, Queue& queue, const TargetLoad& freed)
{
    const Millis now = options_.clock();
    const double reportAge = meanReportAgeMs();
    const double slice = isRunningAny(key) ? reportAge : slotTimeSlice * reportAge;
    const auto isOnlyFreeSlot = [&] { return countFreeSlots(key, forecastFor(key, queue), reportsHold(queue)).all < 2; };
    // An endpoint with a request limit does not serve more requests with the slot.
    if (freed.isLimited() || static_cast<double>((now - queue.timeSliceStart).count()) < slice || !isOnlyFreeSlot() || !isPeerStarved(key)) {
        queue.claims = std::min(maxClaims, queue.claims + 1);
        return true;
    }
    queue.claims = 0;
    queue.timeSliceStart = now;
    queue.reservedUntil = now + Millis(static_cast<int64_t>(reservationTime * reportAge));
    if (options_.onUsageChanged)
        options_.onUsageChanged();
    return false;
}

// Returns whether requests of this node run on a target of the model, other than one that spans fabric domains.
bool Dispatcher::isRunningAny(const QueueKey& key) const
{
    const std::vector<const TargetLoad*>& loads = loadsFor(key).local;
    return std::any_of(loads.begin(), loads.end(), [](const TargetLoad* load) { return load->running() > 0; });
}

// Returns whether requests for the model wait at another node that runs none.
bool Dispatcher::isPeerStarved(const QueueKey& key) const
{
    const uint32_t model = hashModel(key.first, key.second);
    const auto isOfModel = [&](const auto& use) {
        const auto found = loadsByHash_.find(use.first);
        return found != loadsByHash_.end() && found->second->target.service == key.first && found->second->target.model == key.second;
    };
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
        const PeerUsage& peer = entry.second;
        return peer.waitingByModel.count(model) > 0 && std::none_of(peer.byTarget.begin(), peer.byTarget.end(), isOfModel);
    });
}

} // namespace hemlockweir
