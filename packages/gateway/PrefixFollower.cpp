#include "gateway/PrefixFollower.h"

namespace hemlockweir {

PrefixFollower::PrefixFollower(boost::asio::io_context& context, Options options, const KvStore& store, DecisionLog& log)
    : options_(std::move(options))
    , store_(store)
    , log_(log)
    , timer_(context, [this] { isWatching_ ? watch() : read(); })
{
}

void PrefixFollower::noteAnswer()
{
    const Millis now = options_.clock();
    if (!isReachable_) {
        log_.noteChange("store_regained", { { "prefix", options_.prefix }, { "silent_ms", std::to_string((now - heardAt_).count()) }, { "store_revision", std::to_string(revision_) } });
        returnedAt_ = now;
    }
    isReachable_ = true;
    heardAt_ = now;
    options_.onAnswer();
}

void PrefixFollower::noteFailure(const absl::Status& status)
{
    if (isReachable_)
        log_.noteChange("store_lost", { { "prefix", options_.prefix }, { "error", std::string(status.message()) }, { "silent_ms", std::to_string((options_.clock() - heardAt_).count()) }, { "store_revision", std::to_string(revision_) } });
    isReachable_ = false;
    isWatching_ = false;
    timer_.callAfter(options_.timing.retryDelay);
}

void PrefixFollower::read()
{
    store_.list(options_.prefix, false, [this](const absl::StatusOr<KvItems>& items) {
        if (!items.ok()) {
            noteFailure(items.status());
            return;
        }
        items_.clear();
        for (const KvItem& item : items->items)
            items_.insert_or_assign(item.key, item);
        revision_ = items->revision;
        hasRead_ = true;
        isWatching_ = true;
        noteAnswer();
        timer_.callAfter(options_.timing.pause);
    });
}

void PrefixFollower::watch()
{
    store_.watch(options_.prefix, revision_, options_.timing.wait, [this](const absl::StatusOr<KvChanges>& changes) {
        if (changes.ok()) {
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
        log_.noteChange("store_history_lost", { { "prefix", options_.prefix }, { "store_revision", std::to_string(revision_) } });
        isWatching_ = false;
        timer_.callAfter(options_.timing.pause);
    });
}

void PrefixFollower::take(const KvChanges& changes)
{
    for (const KvItem& item : changes.written)
        items_.insert_or_assign(item.key, item);
    for (const KvItem& item : changes.deleted) {
        const auto found = items_.find(item.key);
        if (found != items_.end() && found->second.revision < item.revision)
            items_.erase(found);
    }
    revision_ = std::max(revision_, changes.revision);
}

} // namespace hemlockweir
