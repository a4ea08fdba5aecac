#include "gateway/EndpointFollower.h"

namespace hemlockweir {

EndpointFollower::EndpointFollower(Options options, StoreFollower& store, const PlatformAdapter& adapter, DecisionLog& log)
    : options_(std::move(options))
    , adapter_(adapter)
    , log_(log)
    , store_(store)
{
    store_.addListener([this] { takeAnswer(); });
}

void EndpointFollower::takeAnswer()
{
    for (const KvItem* item : store_.itemsWith(adapter_.endpointPrefix))
        takeItem(*item);
    dropMissing();
    endpoints_.clear();
    for (const auto& [key, known] : known_)
        endpoints_.push_back(known.info);
    options_.onChange();
}

std::vector<KvItem> EndpointFollower::entries() const
{
    std::vector<KvItem> entries;
    entries.reserve(known_.size());
    for (const auto& [key, known] : known_)
        entries.push_back(known.item);
    return entries;
}

void EndpointFollower::takeItem(const KvItem& item)
{
    const auto before = known_.find(item.key);
    if (before != known_.end() && before->second.item.revision == item.revision)
        return;
    absl::StatusOr<EndpointInfo> info = adapter_.decodeEndpoint(item);
    if (!info.ok()) {
        // It names no endpoint to use; what was known of another writer's key goes.
        known_.erase(item.key);
        if (std::exchange(unreadable_[item.key], item.revision) != item.revision)
            log_.noteChange("endpoint_unreadable", { { "key", item.key }, { "revision", std::to_string(item.revision) }, { "error", std::string(info.status().message()) } });
        return;
    }
    if (before == known_.end())
        log_.noteChange("endpoint_found", { { "endpoint", info->id }, { "service", info->service }, { "domain", info->domain }, { "fabric", info->fabric }, { "revision", std::to_string(item.revision) } });
    else if (info->isLeaving && !before->second.info.isLeaving)
        log_.noteChange("endpoint_leaving", { { "endpoint", info->id }, { "service", info->service }, { "revision", std::to_string(item.revision) } });
    known_.insert_or_assign(item.key, Known { std::move(*info), item });
}

void EndpointFollower::dropMissing()
{
    const bool mayReturn = options_.clock() - store_.returnedAt() < options_.returnTime;
    if (mayReturn)
        return;
    std::erase_if(known_, [this](const auto& entry) {
        if (store_.find(entry.first))
            return false;
        log_.noteChange("endpoint_gone", { { "endpoint", entry.second.info.id }, { "service", entry.second.info.service }, { "store_revision", std::to_string(store_.revision()) } });
        return true;
    });
    std::erase_if(unreadable_, [this](const auto& entry) { return !store_.find(entry.first); });
}

} // namespace hemlockweir
