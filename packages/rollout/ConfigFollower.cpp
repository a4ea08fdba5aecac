#include "rollout/ConfigFollower.h"

#include "base/Log.h"

#include <algorithm>

namespace hemlockweir {

// After this many failed fetches from peers, the platform is checked every noSourceDelay instead of
// every fallbackInterval.
static constexpr int maxFailedFetches = 2;

ConfigFollower::ConfigFollower(Options options, ConfigTable& table, KvClient& platform)
    : options_(std::move(options))
    , table_(table)
    , platform_(platform)
    , fetcher_(options_.fetch)
{
    connect(&timer_, &QTimer::timeout, this, &ConfigFollower::tick);
}

void ConfigFollower::start()
{
    nextDirectCheckAt_ = options_.clock() + randomUpTo(options_.noSourceDelay);
    timer_.start(options_.tickInterval);
    tick();
}

Millis ConfigFollower::randomUpTo(Millis limit)
{
    return Millis(static_cast<int64_t>(options_.random() % static_cast<uint64_t>(limit.count() + 1)));
}

void ConfigFollower::tick()
{
    const Millis now = options_.clock();
    maintainWatch(now);
    fetchFromPeer(now);
    checkPlatformDirectly(now);
}

void ConfigFollower::maintainWatch(Millis now)
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
            apply(entry.value, entry.modRevision, "watch");
    };
    // The call must not be destroyed inside its own callback. The serial detects that a new watch
    // has replaced it in the meantime.
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
    if (isReading_)
        return;
    isReading_ = true;
    nextCheckAt_ = now + options_.checkInterval;
    platform_.getRevision(configurationKey, [this](const absl::StatusOr<KvRange>& range) { handleCheck(range); });
}

void ConfigFollower::handleCheck(const absl::StatusOr<KvRange>& range)
{
    isReading_ = false;
    recordPlatformResult(range.ok());
    if (!range.ok())
        return;
    const int64_t currentRevision = table_.snapshot().revision;
    const int64_t platformRevision = range->entries.empty() ? 0 : range->entries.front().modRevision;
    if (platformRevision > currentRevision) {
        // The watch should have delivered this revision: either it is stuck or this node has just
        // started.
        if (currentRevision > 0)
            watch_.reset();
        readPlatform();
    } else if (platformRevision < currentRevision && platformRevision != warnedRevision_) {
        warnedRevision_ = platformRevision;
        logWarning("configuration_went_back", { { "held", std::to_string(currentRevision) }, { "platform", std::to_string(platformRevision) }, { "action", "keeping the current configuration" } });
    }
}

void ConfigFollower::readPlatform()
{
    isReading_ = true;
    platform_.get(configurationKey, [this](const absl::StatusOr<KvRange>& range) {
        isReading_ = false;
        recordPlatformResult(range.ok());
        if (range.ok() && !range->entries.empty())
            apply(range->entries.front().value, range->entries.front().modRevision, "platform");
    });
}

void ConfigFollower::recordPlatformResult(bool answered)
{
    if (answered == platformDown_)
        logInfo(answered ? "platform_answers" : "platform_silent");
    platformDown_ = !answered;
    if (answered) {
        retryDelay_ = Millis(0);
        return;
    }
    watch_.reset();
    const Millis maxDelay = options_.checkInterval * 4;
    retryDelay_ = std::clamp(retryDelay_ * 2, options_.retryInterval, maxDelay);
    nextCheckAt_ = options_.clock() + retryDelay_ + randomUpTo(retryDelay_);
}

void ConfigFollower::fetchFromPeer(Millis now)
{
    const int64_t currentRevision = table_.snapshot().revision;
    std::vector<ConfigSource> sources = options_.sources();
    std::erase_if(sources, [currentRevision](const ConfigSource& source) { return source.revision <= currentRevision; });
    if (sources.empty()) {
        newestPeerRevision_ = 0;
        return;
    }
    if (newestPeerRevision_ == 0)
        nextFetchAt_ = now + randomUpTo(options_.fetchDelay);
    for (const ConfigSource& source : sources)
        newestPeerRevision_ = std::max(newestPeerRevision_, source.revision);
    if (fetcher_.isRunning() || now < nextFetchAt_)
        return;
    const bool hasSourceInDomain = std::any_of(sources.begin(), sources.end(), [](const ConfigSource& source) { return source.isInSameDomain; });
    if (hasSourceInDomain && failedFetches_ == 0)
        std::erase_if(sources, [](const ConfigSource& source) { return !source.isInSameDomain; });
    const ConfigSource chosen = sources[options_.random() % sources.size()];
    fetcher_.start(chosen.endpoint, currentRevision, [this, chosen](const absl::StatusOr<PublishedDocument>& document) {
        const bool applied = document.ok() && apply(document->json, document->revision, chosen.endpoint);
        failedFetches_ = applied ? 0 : failedFetches_ + 1;
        nextFetchAt_ = options_.clock() + (applied ? Millis(0) : options_.retryInterval);
        if (!document.ok())
            logWarning("configuration_fetch_failed", { { "peer", chosen.endpoint }, { "error", std::string(document.status().message()) } });
    });
}

void ConfigFollower::checkPlatformDirectly(Millis now)
{
    const bool hasNoSource = table_.snapshot().revision == 0 && newestPeerRevision_ == 0;
    const bool hasFailedFetches = failedFetches_ >= maxFailedFetches;
    if (options_.isWatcher() || now < nextDirectCheckAt_)
        return;
    if (hasNoSource || hasFailedFetches)
        nextDirectCheckAt_ = now + options_.noSourceDelay + randomUpTo(options_.noSourceDelay);
    else
        nextDirectCheckAt_ = now + options_.fallbackInterval / 2 + randomUpTo(options_.fallbackInterval);
    failedFetches_ = 0;
    checkPlatform(now);
}

bool ConfigFollower::apply(const QByteArray& json, int64_t revision, const std::string& source)
{
    if (revision <= table_.snapshot().revision)
        return false;
    absl::StatusOr<Configuration> configuration = parseConfiguration(json);
    if (configuration.ok() && configuration->publication.empty())
        configuration = absl::InvalidArgumentError("the document was not written by `hemlockctl publish`");
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
