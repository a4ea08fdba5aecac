#include "gateway/EndpointFollower.h"

#include <algorithm>

namespace hemlockweir {

EndpointFollower::EndpointFollower(boost::asio::io_context& context, Options options, StoreFollower& store, const PlatformAdapter& adapter, DecisionLog& log)
    : options_(std::move(options))
    , adapter_(adapter)
    , log_(log)
    , store_(store)
    , graceTimer_(context, [this] {
        if (store_.isReachable())
            update();
    })
{
    store_.addListener([this] { update(); });
}

void EndpointFollower::update()
{
    noteOutage();
    bool hasChanged = false;
    isServing_ = hasList_ && options_.isServing && options_.isServing();
    hasList_ = hasList_ || store_.hasData();
    for (const KvItem* item : store_.itemsWith(adapter_.endpointPrefix))
        hasChanged = applyItem(*item) || hasChanged;
    hasChanged = removeMissing() || hasChanged;
    hasChanged = markEvacuated() || hasChanged;
    if (hasChanged) {
        ++changeCount_;
        endpoints_.clear();
        for (const auto& [key, known] : known_)
            endpoints_.push_back(known.info);
    }
    options_.onChange();
}

// Starts a grace period after a restore of the store, which lost what was written last, and after an outage that may have let entries expire, or that cut the last grace period short.
void EndpointFollower::noteOutage()
{
    if (store_.relistedAt() > outageEndedAt_) {
        outageEndedAt_ = store_.relistedAt();
        graceTimer_.callAfter(graceEndsAt() - options_.clock());
    }
    if (outageEndedAt_ >= store_.recoveredAt())
        return;
    const Millis outageBeganAt = store_.recoveredAt() - store_.outageTime();
    if (store_.outageTime() < options_.lapseTime && outageBeganAt >= graceEndsAt())
        return;
    outageEndedAt_ = store_.recoveredAt();
    graceTimer_.callAfter(graceEndsAt() - options_.clock());
}

std::vector<KvItem> EndpointFollower::entries() const
{
    std::vector<KvItem> entries;
    entries.reserve(known_.size());
    for (const auto& [key, known] : known_)
        entries.push_back(known.item);
    return entries;
}

void EndpointFollower::logChanges()
{
    const ChangeCounts counts = std::exchange(unlogged_, {});
    if (counts == ChangeCounts {})
        return;
    log_.noteChange("endpoints_changed", { { "found", std::to_string(counts.found) }, { "leaving", std::to_string(counts.leaving) }, { "gone", std::to_string(counts.gone) }, { "endpoints", std::to_string(endpoints_.size()) }, { "store_revision", store_.revision().toString() }, { "list_age_ms", std::to_string((options_.clock() - store_.answeredAt()).count()) } });
}

// Returns whether the entry changed the list.
bool EndpointFollower::applyItem(const KvItem& item)
{
    const auto previous = known_.find(item.key);
    const bool isFound = previous == known_.end();
    const bool isSeen = !isFound && previous->second.seenRevision == item.revision;
    if (isSeen && !previous->second.contradictedSince)
        return false;
    absl::StatusOr<EndpointEntry> entry = adapter_.decodeEndpoint(item);
    if (!entry.ok()) {
        // The entry describes no usable endpoint; another writer may own the key. The endpoint known by this key is removed.
        const bool wasKnown = known_.erase(item.key) > 0;
        if (std::exchange(loggedUnreadable_[item.key], item.revision) != item.revision)
            log_.noteChange("endpoint_unreadable", { { "key", item.key }, { "revision", item.revision.toString() }, { "error", std::string(entry.status().message()) } });
        return wasKnown;
    }
    KnownEndpoint& known = isFound ? known_[item.key] : previous->second;
    known.seenRevision = item.revision;
    if (!isNews(known, entry->time())) {
        if (!isSeen && logsEachChange())
            log_.noteChange("endpoint_outdated", { { "endpoint", entry->info.id }, { "service", entry->info.service }, { "revision", item.revision.toString() }, { "newest", known.item.revision.toString() } });
        return false;
    }
    completeColdTime(isFound ? nullptr : &known.info, entry->info);
    logColdTime(known, *entry);
    logEntry(isFound ? nullptr : &known, entry->info, item.revision);
    entry->info.isEvacuated = isEvacuated(entry->info);
    const bool hasChanged = isFound || known.info != entry->info;
    known.info = std::move(entry->info);
    known.item = item;
    return hasChanged;
}

// Applies the evacuated failure domains to endpoints whose entries did not change. Returns whether the list changed.
bool EndpointFollower::markEvacuated()
{
    bool hasChanged = false;
    for (auto& [key, known] : known_) {
        const bool evacuated = isEvacuated(known.info);
        hasChanged = std::exchange(known.info.isEvacuated, evacuated) != evacuated || hasChanged;
    }
    return hasChanged;
}

// Returns whether a statement of an endpoint counts. An older one that still stands after the contradiction time does as well:
// the clock by which the endpoint tells its start was set back, or the newer entry was another writer's.
bool EndpointFollower::isNews(KnownEndpoint& known, const StatementTime& time) const
{
    const Millis now = options_.clock();
    if (!known.clock.accept(time)) {
        if (!known.contradictedSince)
            known.contradictedSince = now;
        // While the store was unavailable, the endpoint could not correct it.
        if (now - std::max(*known.contradictedSince, store_.recoveredAt()) < options_.contradictionTime)
            return false;
        known.clock = {};
        known.clock.accept(time);
    }
    known.contradictedSince.reset();
    return true;
}

// Adds to an entry that counts when its cold time was read, and what is known if it has none.
void EndpointFollower::completeColdTime(const EndpointInfo* previous, EndpointInfo& info) const
{
    const bool isNewProcess = !previous || previous->startedAtMs != info.startedAtMs;
    if (!info.coldTime && isNewProcess && isServing_)
        info.coldTime = EndpointInfo::longestColdTime;
    if (info.coldTime > Millis(0)) {
        info.coldReadAt = options_.clock();
    } else if (!info.coldTime && !isNewProcess) {
        info.coldTime = previous->coldTime;
        info.coldReadAt = previous->coldReadAt;
    }
}

// Logs the first of several entries of an endpoint whose cold time makes no sense.
void EndpointFollower::logColdTime(KnownEndpoint& known, const EndpointEntry& entry)
{
    const bool isUnreadable = !entry.unreadableColdTime.empty();
    if (!std::exchange(known.hasUnreadableColdTime, isUnreadable) && isUnreadable)
        log_.noteFailure("cold_time_unreadable", { { "endpoint", entry.info.id }, { "service", entry.info.service }, { "cold_time", entry.unreadableColdTime } });
}

// Counts and logs an entry that counts. `previous` is null for a new endpoint.
void EndpointFollower::logEntry(const KnownEndpoint* previous, const EndpointInfo& info, const StoreRevision& revision)
{
    const bool startsLeaving = previous && info.isLeaving && !previous->info.isLeaving;
    unlogged_.found += previous ? 0 : 1;
    unlogged_.leaving += startsLeaving ? 1 : 0;
    if (!previous && logsEachChange())
        log_.noteChange("endpoint_found", { { "endpoint", info.id }, { "service", info.service }, { "domain", info.domain }, { "fabric", info.fabric }, { "revision", revision.toString() } });
    if (startsLeaving && logsEachChange())
        log_.noteChange("endpoint_leaving", { { "endpoint", info.id }, { "service", info.service }, { "revision", revision.toString() } });
}

// Returns whether an endpoint was removed.
bool EndpointFollower::removeMissing()
{
    if (options_.clock() < graceEndsAt())
        return false;
    const size_t removed = std::erase_if(known_, [this](const auto& entry) {
        if (store_.find(entry.first))
            return false;
        ++unlogged_.gone;
        if (logsEachChange())
            log_.noteChange("endpoint_gone", { { "endpoint", entry.second.info.id }, { "service", entry.second.info.service }, { "store_revision", store_.revision().toString() } });
        return true;
    });
    std::erase_if(loggedUnreadable_, [this](const auto& entry) { return !store_.find(entry.first); });
    return removed > 0;
}

} // namespace hemlockweir
