#include "rollout/ConfigFollower.h"

#include "base/Log.h"

#include <algorithm>

namespace hemlockweir {

// Fetches that may fail before the platform is asked instead.
static constexpr int fetchesBeforePlatform = 2;

ConfigFollower::ConfigFollower(Options options, ConfigTable& table, KvClient& platform)
    : options_(std::move(options))
    , table_(table)
    , platform_(platform)
    , fetch_(options_.fetch)
{
    connect(&timer_, &QTimer::timeout, this, &ConfigFollower::tick);
}

void ConfigFollower::start()
{
    aloneCheckAt_ = options_.clock() + upTo(options_.orphanDelay);
    timer_.start(options_.tickInterval);
    tick();
}

Millis ConfigFollower::upTo(Millis limit)
{
    return Millis(static_cast<int64_t>(options_.random() % static_cast<uint64_t>(limit.count() + 1)));
}

void ConfigFollower::tick()
{
    const Millis now = options_.clock();
    tendWatch(now);
    fetchFromPeer(now);
    askPlatformAlone(now);
}

void ConfigFollower::tendWatch(Millis now)
{
    if (!options_.isWatcher()) {
        watch_.reset();
        return;
    }
    if (now < nextCheckAt_)
        return;
    if (!watch_)
        openWatch();
    checkPlatform(now);
}

void ConfigFollower::openWatch()
{
    auto onEntry = [this](const KvEntry& entry) {
        if (!entry.value.isEmpty())
            take(entry.value, entry.modRevision, "watch");
    };
    // The call may not be destroyed inside its own hook, and another may have taken its place by then.
    auto onEnd = [this, serial = ++watchSerial_] {
        QMetaObject::invokeMethod(
            this, [this, serial] {
            if (serial == watchSerial_)
                watch_.reset(); }, Qt::QueuedConnection);
    };
    watch_ = platform_.watch(configurationKey, table_.snapshot().revision + 1, onEntry, onEnd);
}

void ConfigFollower::checkPlatform(Millis now)
{
    if (busy_)
        return;
    busy_ = true;
    nextCheckAt_ = now + options_.checkInterval;
    platform_.getRevision(configurationKey, [this](const absl::StatusOr<KvRange>& range) { takeCheck(range); });
}

void ConfigFollower::takeCheck(const absl::StatusOr<KvRange>& range)
{
    busy_ = false;
    notePlatform(range.ok());
    if (!range.ok())
        return;
    const int64_t held = table_.snapshot().revision;
    const int64_t found = range->entries.empty() ? 0 : range->entries.front().modRevision;
    if (found > held) {
        // The watch should have told: it is silent, or this node has just started.
        if (held > 0)
            watch_.reset();
        readPlatform();
    } else if (found < held && found != warnedRevision_) {
        warnedRevision_ = found;
        logWarning("configuration_went_back", { { "held", std::to_string(held) }, { "platform", std::to_string(found) }, { "action", "the held one stays in force" } });
    }
}

void ConfigFollower::readPlatform()
{
    busy_ = true;
    platform_.get(configurationKey, [this](const absl::StatusOr<KvRange>& range) {
        busy_ = false;
        notePlatform(range.ok());
        if (range.ok() && !range->entries.empty())
            take(range->entries.front().value, range->entries.front().modRevision, "platform");
    });
}

void ConfigFollower::notePlatform(bool answered)
{
    if (answered == platformDown_)
        logInfo(answered ? "platform_answers" : "platform_silent");
    platformDown_ = !answered;
    if (answered) {
        retryDelay_ = Millis(0);
        return;
    }
    watch_.reset();
    const Millis longest = options_.checkInterval * 4;
    retryDelay_ = std::clamp(retryDelay_ * 2, options_.retryInterval, longest);
    nextCheckAt_ = options_.clock() + retryDelay_ + upTo(retryDelay_);
}

void ConfigFollower::fetchFromPeer(Millis now)
{
    const int64_t held = table_.snapshot().revision;
    std::vector<ConfigSource> sources = options_.sources();
    std::erase_if(sources, [held](const ConfigSource& source) { return source.revision <= held; });
    if (sources.empty()) {
        heardRevision_ = 0;
        return;
    }
    if (heardRevision_ == 0)
        nextFetchAt_ = now + upTo(options_.fetchDelay);
    for (const ConfigSource& source : sources)
        heardRevision_ = std::max(heardRevision_, source.revision);
    if (fetch_.isRunning() || now < nextFetchAt_)
        return;
    const bool hasNear = std::any_of(sources.begin(), sources.end(), [](const ConfigSource& source) { return source.isNear; });
    if (hasNear && failedFetches_ == 0)
        std::erase_if(sources, [](const ConfigSource& source) { return !source.isNear; });
    const ConfigSource chosen = sources[options_.random() % sources.size()];
    fetch_.start(chosen.endpoint, held, [this, chosen](const absl::StatusOr<PublishedDocument>& document) {
        const bool taken = document.ok() && take(document->json, document->revision, chosen.endpoint);
        failedFetches_ = taken ? 0 : failedFetches_ + 1;
        nextFetchAt_ = options_.clock() + (taken ? Millis(0) : options_.retryInterval);
        if (!document.ok())
            logWarning("configuration_fetch_failed", { { "peer", chosen.endpoint }, { "error", std::string(document.status().message()) } });
    });
}

void ConfigFollower::askPlatformAlone(Millis now)
{
    const bool isOrphan = table_.snapshot().revision == 0 && heardRevision_ == 0;
    const bool isStuck = failedFetches_ >= fetchesBeforePlatform;
    if (options_.isWatcher() || now < aloneCheckAt_)
        return;
    if (isOrphan || isStuck)
        aloneCheckAt_ = now + options_.orphanDelay + upTo(options_.orphanDelay);
    else
        aloneCheckAt_ = now + options_.lastResortInterval / 2 + upTo(options_.lastResortInterval);
    failedFetches_ = 0;
    checkPlatform(now);
}

bool ConfigFollower::take(const QByteArray& json, int64_t revision, const std::string& source)
{
    if (revision <= table_.snapshot().revision)
        return false;
    absl::StatusOr<Configuration> configuration = parseConfiguration(json);
    if (configuration.ok() && configuration->publication.empty())
        configuration = absl::InvalidArgumentError("it was not written by `hemlockctl publish`");
    if (!configuration.ok()) {
        if (refusedRevision_ != revision)
            logWarning("configuration_refused", { { "revision", std::to_string(revision) }, { "source", source }, { "error", std::string(configuration.status().message()) } });
        refusedRevision_ = revision;
        return false;
    }
    if (!table_.adopt(*configuration, revision, json))
        return false;
    logInfo("configuration_adopted", { { "revision", std::to_string(revision) }, { "publication", configuration->publication }, { "source", source } });
    if (onAdopted)
        onAdopted(table_.snapshot());
    return true;
}

} // namespace hemlockweir
