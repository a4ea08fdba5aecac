#include "gateway/ConfigurationFollower.h"

namespace hemlockweir {

ConfigurationFollower::ConfigurationFollower(boost::asio::io_context& context, Options options, const PlatformAdapter& adapter, DecisionLog& log)
    : options_(std::move(options))
    , adapter_(adapter)
    , log_(log)
    , timer_(context, [this] { watchFrom_ == 0 ? read() : watch(); })
{
}

void ConfigurationFollower::start()
{
    read();
}

void ConfigurationFollower::noteOutcome(const absl::Status& status)
{
    const bool isReachable = status.ok() || absl::IsNotFound(status) || absl::IsOutOfRange(status);
    const Millis now = options_.clock();
    if (isReachable != isReachable_)
        log_.noteChange(isReachable ? "store_regained" : "store_lost", { { "call", "configuration" }, { "error", std::string(status.message()) }, { "silent_ms", std::to_string((now - heardAt_).count()) } });
    isReachable_ = isReachable;
    if (isReachable)
        heardAt_ = now;
}

void ConfigurationFollower::read()
{
    adapter_.store.get(adapter_.configurationKey, [this](absl::StatusOr<KvItem> item) {
        noteOutcome(item.status());
        if (!item.ok()) {
            timer_.callAfter(options_.retryDelay);
            return;
        }
        take(item->value, "store");
        watchFrom_ = item->revision;
        watch();
    });
}

void ConfigurationFollower::watch()
{
    adapter_.store.watch(adapter_.configurationKey, watchFrom_, options_.watchWait, [this](absl::StatusOr<KvChanges> changes) {
        noteOutcome(changes.status());
        if (!changes.ok()) {
            // History is gone, or the watch broke: a plain read says what holds now.
            watchFrom_ = 0;
            timer_.callAfter(absl::IsOutOfRange(changes.status()) ? Millis(0) : options_.retryDelay);
            return;
        }
        for (const KvItem& item : changes->written) {
            if (item.key == adapter_.configurationKey)
                take(item.value, "store");
        }
        watchFrom_ = std::max(watchFrom_, changes->revision);
        watch();
    });
}

bool ConfigurationFollower::take(const std::string& text, std::string_view source)
{
    absl::StatusOr<ProxyConfiguration> configuration = adapter_.decodeConfiguration(text);
    if (!configuration.ok()) {
        log_.noteChange("configuration_unreadable", { { "source", std::string(source) }, { "error", std::string(configuration.status().message()) }, { "in_force", std::to_string(version_) } });
        return false;
    }
    if (configuration->version <= version_)
        return false;
    log_.noteChange("configuration_in_force", { { "version", std::to_string(configuration->version) }, { "before", std::to_string(version_) }, { "source", std::string(source) }, { "routes", std::to_string(configuration->routes.size()) } });
    version_ = configuration->version;
    options_.onConfiguration(std::make_shared<const RouteTable>(*std::move(configuration)), text);
    return true;
}

} // namespace hemlockweir
