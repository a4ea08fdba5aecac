#include "gateway/StoreFollower.h"

#include <algorithm>

namespace hemlockweir {

// Returns the longest common prefix of all prefixes.
static std::string commonPrefix(const std::vector<std::string>& prefixes)
{
    std::string common = prefixes.front();
    for (const std::string& prefix : prefixes) {
        const auto end = std::mismatch(common.begin(), common.end(), prefix.begin(), prefix.end()).first;
        common.erase(end, common.end());
    }
    return common;
}

static bool hasPrefix(const std::string& key, const std::vector<std::string>& prefixes)
{
    return std::any_of(prefixes.begin(), prefixes.end(), [&](const std::string& prefix) { return key.starts_with(prefix); });
}

StoreFollower::StoreFollower(boost::asio::io_context& context, Options options, const KvStore& store, DecisionLog& log)
    : options_(std::move(options))
    , watchedPrefix_(commonPrefix(options_.prefixes))
    , store_(store)
    , log_(log)
    , timer_(context, [this] { isWatching_ ? watch() : listAll(); })
{
    store_.eras->addListener([this](uint64_t before) { handleNewEra(before); });
}

std::vector<const KvItem*> StoreFollower::itemsWith(const std::string& prefix) const
{
    std::vector<const KvItem*> found;
    for (auto it = items_.lower_bound(prefix); it != items_.end() && it->first.starts_with(prefix); ++it)
        found.push_back(&it->second);
    return found;
}

const KvItem* StoreFollower::find(const std::string& key) const
{
    const auto found = items_.find(key);
    return found == items_.end() ? nullptr : &found->second;
}

bool StoreFollower::isFollowed(const std::string& key) const
{
    return hasPrefix(key, options_.prefixes);
}

void StoreFollower::noteAnswer()
{
    const Millis now = options_.clock();
    if (!isReachable()) {
        log_.noteChange("store_regained", { { "silent_ms", std::to_string((now - answeredAt_).count()) }, { "failed_calls", std::to_string(failures_) }, { "store_revision", revision_.toString() } });
        recoveredAt_ = now;
        outageTime_ = now - answeredAt_;
    }
    failures_ = 0;
    answeredAt_ = now;
    for (const auto& listener : listeners_)
        listener();
}

// Handles a failed call. While the store is unreachable, listAll() schedules the next attempt.
void StoreFollower::noteFailure(const absl::Status& status)
{
    if (!isReachable())
        return;
    log_.noteChange("store_lost", { { "error", std::string(status.message()) }, { "silent_ms", std::to_string((options_.clock() - answeredAt_).count()) }, { "store_revision", revision_.toString() } });
    isWatching_ = false;
    timer_.callAfter(backoffDelay(options_.timing.retryDelay, failures_++));
}

Millis StoreFollower::nextPause() const
{
    const bool isCatchingUp = options_.clock() - recoveredAt_ < options_.timing.catchUpTime;
    return isCatchingUp ? std::min(options_.timing.pause, options_.timing.catchUpPause) : options_.timing.pause;
}

// Returns the delay before the next attempt: doubles with each consecutive failure, up to the maximum.
Millis StoreFollower::backoffDelay(Millis initialDelay, uint32_t failureCount) const
{
    const Millis maxDelay = std::max(initialDelay, options_.timing.maxRetryDelay);
    Millis delay = initialDelay;
    for (uint32_t i = 0; i < failureCount && delay < maxDelay; ++i)
        delay *= 2;
    return std::min(delay, maxDelay);
}

// While the store is unreachable, the next listing starts even if this one has got no answer by then: a call that began
// before the store's recovery may hang until it times out.
void StoreFollower::listAll()
{
    if (!isReachable())
        timer_.callAfter(backoffDelay(options_.timing.retryDelay, failures_++));
    listNext(std::make_shared<Listing>(Listing { .number = ++startedListings_ }));
}

void StoreFollower::listNext(const std::shared_ptr<Listing>& listing)
{
    store_.list(options_.prefixes[listing->nextPrefix], false, [this, listing](const absl::StatusOr<KvItems>& items) {
        if (listing->number <= obsoleteListings_)
            return;
        if (!items.ok()) {
            noteFailure(items.status());
            return;
        }
        for (const KvItem& item : items->items)
            listing->items.insert_or_assign(item.key, item);
        // The watch starts at the revision of the first answer, so that it reports changes made between the answers.
        if (listing->nextPrefix == 0)
            listing->revision = items->revision;
        if (++listing->nextPrefix < options_.prefixes.size())
            listNext(listing);
        else
            applyListing(*listing);
    });
}

void StoreFollower::applyListing(Listing& listing)
{
    obsoleteListings_ = startedListings_;
    const bool isFirstOfEra = !std::exchange(hasListed_, true) || listing.revision.era() != eraListedAt_.era();
    if (isFirstOfEra)
        eraListedAt_ = listing.revision;
    if (isFirstOfEra && hasData_)
        relistedAt_ = options_.clock();
    items_ = std::move(listing.items);
    revision_ = listing.revision;
    hasData_ = true;
    isWatching_ = true;
    noteAnswer();
    timer_.callAfter(nextPause());
}

void StoreFollower::watch()
{
    const Millis wait = std::max(options_.timing.wait - nextPause(), options_.timing.wait / 2);
    store_.watch(watchedPrefix_, revision_, wait, [this, era = revision_.era()](const absl::StatusOr<KvChanges>& changes) {
        // The watch began before the store was restored. All keys are listed again already.
        if (era != store_.eras->current())
            return;
        if (changes.ok()) {
            historyLossCount_ = 0;
            apply(*changes);
            noteAnswer();
            timer_.callAfter(nextPause());
            return;
        }
        if (!absl::IsOutOfRange(changes.status())) {
            noteFailure(changes.status());
            return;
        }
        // The store is reachable but has lost the history since our revision: list the current state.
        log_.noteChange("store_history_lost", { { "store_revision", revision_.toString() } });
        isWatching_ = false;
        timer_.callAfter(backoffDelay(options_.timing.pause, historyLossCount_++));
    });
}

bool StoreFollower::applyPeerItems(const std::vector<std::string>& prefixes, const std::vector<KvItem>& items, StoreRevision revision)
{
    if (isReachable() || revision <= revision_ || !store_.eras->accept(revision.era()))
        return false;
    std::erase_if(items_, [&](const auto& entry) { return hasPrefix(entry.first, prefixes); });
    for (const KvItem& item : items) {
        if (hasPrefix(item.key, prefixes))
            items_.insert_or_assign(item.key, item);
    }
    revision_ = revision;
    hasData_ = true;
    for (const auto& listener : listeners_)
        listener();
    return true;
}

// Lists all keys again. The answers of calls that began in the earlier era are ignored.
void StoreFollower::handleNewEra(uint64_t before)
{
    log_.noteChange("store_restored", { { "era", std::to_string(store_.eras->current()) }, { "before", std::to_string(before) }, { "store_revision", revision_.toString() } });
    obsoleteListings_ = startedListings_;
    isWatching_ = false;
    timer_.callAfter(isReachable() ? nextPause() : backoffDelay(options_.timing.retryDelay, failures_));
}

void StoreFollower::apply(const KvChanges& changes)
{
    for (const KvItem& item : changes.written) {
        const KvItem* known = find(item.key);
        if (isFollowed(item.key) && (!known || known->revision <= item.revision))
            items_.insert_or_assign(item.key, item);
    }
    for (const KvItem& item : changes.deleted) {
        const auto found = items_.find(item.key);
        if (found != items_.end() && found->second.revision < item.revision)
            items_.erase(found);
    }
    revision_ = std::max(revision_, changes.revision);
}

} // namespace hemlockweir
