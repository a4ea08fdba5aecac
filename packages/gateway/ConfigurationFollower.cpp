#include "gateway/ConfigurationFollower.h"

namespace hemlockweir {

ConfigurationFollower::ConfigurationFollower(boost::asio::io_context& context, Options options, const PlatformAdapter& adapter, DecisionLog& log)
    : options_(std::move(options))
    , adapter_(adapter)
    , log_(log)
    , follower_(context, { .clock = options_.clock, .prefix = adapter.configurationKey, .timing = options_.timing, .onAnswer = [this] { takeAnswer(); } }, adapter.store, log)
{
}

void ConfigurationFollower::takeAnswer()
{
    const auto found = follower_.items().find(adapter_.configurationKey);
    if (found == follower_.items().end() || found->second.revision == seenRevision_)
        return;
    seenRevision_ = found->second.revision;
    take(found->second.value, "store");
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
    text_ = text;
    options_.onConfiguration(std::make_shared<const RouteTable>(*std::move(configuration)));
    return true;
}

} // namespace hemlockweir
