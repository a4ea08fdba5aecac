#include "gateway/EvacuatedDomains.h"

#include <absl/strings/escaping.h>
#include <algorithm>

namespace hemlockweir {

// Bytes of an invalid key that are logged.
static constexpr size_t maxLoggedBytes = 64;
// Time after a restore of the store in which the operators write again what the copy lacks; as long as endpoints have to register again.
static constexpr Millis rewriteTime { 2200 };

EvacuatedDomains::EvacuatedDomains(const Clock& clock, StoreFollower& store, const PlatformAdapter& adapter, DecisionLog& log)
    : clock_(clock)
    , store_(store)
    , adapter_(adapter)
    , log_(log)
{
    // With an empty prefix all keys would count as evacuations.
    if (!adapter_.evacuationPrefix.empty())
        store_.addListener([this] { update(); });
}

std::vector<KvItem> EvacuatedDomains::items() const
{
    std::vector<KvItem> items;
    if (adapter_.evacuationPrefix.empty())
        return items;
    // The values have no meaning, so only the keys are passed on.
    for (const KvItem* item : store_.itemsWith(adapter_.evacuationPrefix))
        items.push_back({ .key = item->key, .revision = item->revision });
    return items;
}

// Returns the failure domains that the store's keys name. Logs keys that can't be read.
std::set<std::string> EvacuatedDomains::readDomains()
{
    std::set<std::string> domains;
    std::map<std::string, StoreRevision> unreadable;
    for (const KvItem* item : store_.itemsWith(adapter_.evacuationPrefix)) {
        absl::StatusOr<std::string> domain = adapter_.decodeEvacuation(item->key);
        if (domain.ok()) {
            domains.insert(*std::move(domain));
            continue;
        }
        unreadable[item->key] = item->revision;
        const auto logged = loggedUnreadable_.find(item->key);
        if (logged == loggedUnreadable_.end() || logged->second != item->revision)
            log_.noteChange("evacuation_unreadable", { { "key", absl::CHexEscape(item->key.substr(0, maxLoggedBytes)) }, { "revision", item->revision.toString() }, { "error", std::string(domain.status().message()) } });
    }
    loggedUnreadable_ = std::move(unreadable);
    return domains;
}

void EvacuatedDomains::update()
{
    const std::set<std::string> domains = readDomains();
    const std::string source = store_.isReachable() ? "store" : "peer";
    const std::string revision = store_.revision().toString();
    const Millis now = clock_();
    for (const std::string& domain : domains) {
        if (evacuations_.try_emplace(domain, Evacuation { .since = now }).second)
            log_.noteChange("evacuation_began", { { "domain", domain }, { "source", source }, { "store_revision", revision } });
    }
    const bool mayBeRewritten = now - store_.relistedAt() < rewriteTime;
    std::erase_if(evacuations_, [&](const auto& entry) {
        if (domains.contains(entry.first) || mayBeRewritten)
            return false;
        log_.noteChange("evacuation_ended", { { "domain", entry.first }, { "source", source }, { "store_revision", revision }, { "lasted_ms", std::to_string((now - entry.second.since).count()) } });
        return true;
    });
}

void EvacuatedDomains::logUnknown(const std::vector<EndpointInfo>& endpoints)
{
    for (auto& entry : evacuations_) {
        const std::string& domain = entry.first;
        if (std::exchange(entry.second.isChecked, true))
            continue;
        if (std::none_of(endpoints.begin(), endpoints.end(), [&](const EndpointInfo& endpoint) { return endpoint.domain == domain; }))
            log_.noteChange("evacuation_of_unknown_domain", { { "domain", domain }, { "endpoints", std::to_string(endpoints.size()) }, { "store_revision", store_.revision().toString() } });
    }
}

} // namespace hemlockweir
