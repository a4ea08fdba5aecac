#include "gateway/StoreFollower.h"

#include <algorithm>

namespace hemlockweir {

// The longest prefix that all of them share.
static std::string sharedPrefix(const std::vector<std::string>& prefixes)
{
    std::string shared = prefixes.front();
    for (const std::string& prefix : prefixes) {
        const auto end = std::mismatch(shared.begin(), shared.end(), prefix.begin(), prefix.end()).first;
        shared.erase(end, shared.end());
    }
    return shared;
}

StoreFollower::StoreFollower(boost::asio::io_context& context, Options options, const KvStore& store, DecisionLog& log)
    : options_(std::move(options))
    , watched_(sharedPrefix(options_.prefixes))
    , store_(store)
    , log_(log)
    , timer_(context, [this] { isWatching_ ? watch() : read(); })
{
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

bool StoreFollower::isKept(const std::string& key) const
{
    return std::any_of(options_.prefixes.begin(), options_.prefixes.end(), [&](const std::string& prefix) { return key.starts_with(prefix); });
}

void StoreFollower::noteAnswer()
{
    const Millis now = options_.clock();
    if (!isReachable()) {
        log_.noteChange("store_regained", { { "silent_ms", std::to_string((now - heardAt_).count()) }, { "failed_calls", std::to_string(failures_) }, { "store_revision", std::to_string(revision_) } });
        returnedAt_ = now;
    }
    failures_ = 0;
    heardAt_ = now;
    for (const auto& listener : listeners_)
        listener();
}

void StoreFollower::noteFailure(const absl::Status& status)
{
    if (isReachable())
        log_.noteChange("store_lost", { { "error", std::string(status.message()) }, { "silent_ms", std::to_string((options_.clock() - heardAt_).count()) }, { "store_revision", std::to_string(revision_) } });
    isWatching_ = false;
    timer_.callAfter(delayAfter(options_.timing.retryDelay, failures_++));
}

// Doubles with each time that something failed before.
Millis StoreFollower::delayAfter(Millis first, uint32_t times) const
{
    const Millis most = std::max(first, options_.timing.mostRetryDelay);
    Millis delay = first;
    for (uint32_t i = 0; i < times && delay < most; ++i)
        delay *= 2;
    return std::min(delay, most);
}

void StoreFollower::readNext(const std::shared_ptr<Reading>& reading)
{
    store_.list(options_.prefixes[reading->next], false, [this, reading](const absl::StatusOr<KvItems>& items) {
        if (!items.ok()) {
            noteFailure(items.status());
            return;
        }
        for (const KvItem& item : items->items)
            reading->items.insert_or_assign(item.key, item);
        // What changes between the answers is told again by the watch.
        if (reading->next == 0)
            reading->revision = items->revision;
        if (++reading->next < options_.prefixes.size()) {
            readNext(reading);
            return;
        }
        items_ = std::move(reading->items);
        revision_ = reading->revision;
        hasRead_ = true;
        isWatching_ = true;
        noteAnswer();
        timer_.callAfter(options_.timing.pause);
    });
}

void StoreFollower::watch()
{
    store_.watch(watched_, revision_, options_.timing.wait, [this](const absl::StatusOr<KvChanges>& changes) {
        if (changes.ok()) {
            lostHistories_ = 0;
            take(*changes);
            noteAnswer();
            timer_.callAfter(options_.timing.pause);
            return;
        }
        if (!absl::IsOutOfRange(changes.status())) {
            noteFailure(changes.status());
            return;
        }
        // The store answers, but what changed meanwhile is no longer known: what holds now is read.
        log_.noteChange("store_history_lost", { { "store_revision", std::to_string(revision_) } });
        isWatching_ = false;
        timer_.callAfter(delayAfter(options_.timing.pause, lostHistories_++));
    });
}

bool StoreFollower::adopt(const std::string& prefix, const std::vector<KvItem>& items, uint64_t revision)
{
    if (isReachable() || revision <= revision_)
        return false;
    std::erase_if(items_, [&](const auto& entry) { return entry.first.starts_with(prefix); });
    for (const KvItem& item : items) {
        if (item.key.starts_with(prefix))
            items_.insert_or_assign(item.key, item);
    }
    revision_ = revision;
    hasRead_ = true;
    for (const auto& listener : listeners_)
        listener();
    return true;
}

void StoreFollower::take(const KvChanges& changes)
{
    for (const KvItem& item : changes.written) {
        const KvItem* known = find(item.key);
        if (isKept(item.key) && (!known || known->revision <= item.revision))
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
