#include "rollout/ConfigFollower.h"

#include "base/Log.h"

namespace hemlockweir {

ConfigFollower::ConfigFollower(Options options, ConfigTable& table, KvClient& platform)
    : options_(options)
    , table_(table)
    , platform_(platform)
{
    connect(&timer_, &QTimer::timeout, this, &ConfigFollower::poll);
}

void ConfigFollower::start()
{
    timer_.start(options_.pollInterval);
    poll();
}

void ConfigFollower::poll()
{
    if (busy_)
        return;
    busy_ = true;
    platform_.get(configurationKey, [this](const absl::StatusOr<KvRange>& range) {
        busy_ = false;
        if (range.ok() && !range->entries.empty())
            take(range->entries.front().value, range->entries.front().modRevision);
    });
}

void ConfigFollower::take(const QByteArray& json, int64_t revision)
{
    if (revision <= table_.snapshot().revision)
        return;
    const absl::StatusOr<Configuration> configuration = parseConfiguration(json);
    if (!configuration.ok()) {
        logWarning("configuration_refused", { { "revision", std::to_string(revision) }, { "error", std::string(configuration.status().message()) } });
        return;
    }
    if (!table_.adopt(*configuration, revision))
        return;
    logInfo("configuration_adopted", { { "revision", std::to_string(revision) }, { "publication", configuration->publication } });
    if (onAdopted)
        onAdopted(table_.snapshot());
}

} // namespace hemlockweir
