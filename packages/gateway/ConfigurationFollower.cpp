#include "gateway/ConfigurationFollower.h"

namespace hemlockweir {

ConfigurationFollower::ConfigurationFollower(Options options, StoreFollower& store, const PlatformAdapter& adapter, DecisionLog& log)
    : options_(std::move(options))
    , adapter_(adapter)
    , log_(log)
    , store_(store)
{
    store_.addListener([this] { update(); });
}

void ConfigurationFollower::update()
{
    const KvItem* item = store_.find(adapter_.configurationKey);
    if (!item || item->revision == lastRevision_)
        return;
    lastRevision_ = item->revision;
    const uint64_t era = item->revision.era();
    const bool isWritten = isWrittenInItsEra(*item);
    if (item->value != text_) {
        if (!apply(item->value, "store", isWritten ? era : 0, era))
            return;
    } else if (isWritten || item->revision.number() != revision_.number()) {
        age_ = { version(), isWritten ? era : age_.firstEra(), era };
    }
    revision_ = item->revision;
}

// Returns whether the operators certainly wrote an item after the restore that began its era: its revision was assigned after
// the first listing of the era, or the copy can't hold it. A copy that lacks the current version, or holds an earlier one, ends
// before the revision of the current one.
bool ConfigurationFollower::isWrittenInItsEra(const KvItem& item) const
{
    if (item.revision > store_.eraListedAt())
        return true;
    return revision_.number() != 0 && item.revision.era() > revision_.era() && item.revision.number() >= revision_.number() && item.value != text_;
}

bool ConfigurationFollower::apply(const std::string& text, std::string_view source, uint64_t firstEra, uint64_t lastEra)
{
    absl::StatusOr<ProxyConfiguration> configuration = adapter_.decodeConfiguration(text);
    if (!configuration.ok()) {
        log_.noteChange("configuration_unreadable", { { "source", std::string(source) }, { "error", std::string(configuration.status().message()) }, { "in_force", std::to_string(version()) } });
        return false;
    }
    const ConfigurationAge age(configuration->version, firstEra, lastEra);
    if (!age.supersedes(age_))
        return false;
    log_.noteChange("configuration_in_force", { { "version", std::to_string(configuration->version) }, { "before", std::to_string(version()) }, { "era", std::to_string(lastEra) }, { "source", std::string(source) }, { "routes", std::to_string(configuration->routes.size()) } });
    for (const std::string& ignored : configuration->ignoredFields)
        log_.noteChange("configuration_field_ignored", { { "version", std::to_string(configuration->version) }, { "error", ignored } });
    age_ = age;
    revision_ = {};
    text_ = text;
    options_.onConfiguration(std::make_shared<const RouteTable>(*std::move(configuration)));
    return true;
}

} // namespace hemlockweir
