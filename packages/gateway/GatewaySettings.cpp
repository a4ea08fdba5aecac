#include "gateway/GatewaySettings.h"

#include "config/TomlReader.h"

namespace hemlockweir {

static constexpr int64_t maxMillis = 3600 * 1000;

bool hasGatewaySettings(const std::string& text, const std::string& file)
{
    const absl::StatusOr<toml::table> table = parseToml(text, file);
    return table.ok() && table->contains("gateway");
}

static Endpoint requireEndpoint(TableReader& reader, std::string_view key)
{
    const std::string text = reader.requireString(key);
    if (text.empty())
        return {};
    absl::StatusOr<Endpoint> endpoint = parseEndpoint(text);
    if (!endpoint.ok()) {
        reader.addError(key, std::string(endpoint.status().message()));
        return {};
    }
    return *endpoint;
}

absl::StatusOr<GatewaySettings> parseGatewaySettings(const std::string& text, const std::string& file)
{
    const absl::StatusOr<toml::table> table = parseToml(text, file);
    if (!table.ok())
        return table.status();
    std::vector<std::string> errors;
    TableReader root(*table, file, "", errors);
    const toml::table* gateway = root.readTable("gateway");
    root.rejectUnknownKeys();
    if (!gateway)
        return absl::InvalidArgumentError(file + ": the table [gateway] is required");
    GatewaySettings settings;
    TableReader reader(*gateway, file, "gateway", errors);
    settings.node = reader.requireString("node");
    settings.domain = reader.requireString("failure_domain");
    settings.callers = requireEndpoint(reader, "callers");
    settings.ready = requireEndpoint(reader, "ready");
    settings.control = requireEndpoint(reader, "control");
    settings.peers = requireEndpoint(reader, "peers");
    for (const std::string& seed : reader.readStrings("seeds")) {
        absl::StatusOr<Endpoint> endpoint = parseEndpoint(seed);
        if (endpoint.ok())
            settings.seeds.push_back(*std::move(endpoint));
        else
            reader.addError("seeds", std::string(endpoint.status().message()));
    }
    settings.isFirstStart = reader.readBool("first_start", false);
    if (const toml::table* platform = reader.readTable("platform")) {
        TableReader platformReader(*platform, file, "gateway.platform", errors);
        settings.store = requireEndpoint(platformReader, "store");
        settings.endpointHeartbeat = Millis(platformReader.readInteger("heartbeat_ms", settings.endpointHeartbeat.count(), 1, maxMillis));
        platformReader.rejectUnknownKeys();
    } else {
        reader.addError("platform", "the table [gateway.platform] is required");
    }
    if (const toml::table* stop = reader.readTable("stop")) {
        TableReader stopReader(*stop, file, "gateway.stop", errors);
        settings.grace = Millis(stopReader.readInteger("grace_ms", settings.grace.count(), 0, maxMillis));
        stopReader.rejectUnknownKeys();
    }
    if (const toml::table* retries = reader.readTable("retries")) {
        TableReader retryReader(*retries, file, "gateway.retries", errors);
        settings.retriesPerRequest = retryReader.readNumber("per_request", settings.retriesPerRequest, 0, 10);
        settings.retryAllowance = retryReader.readNumber("allowance", settings.retryAllowance, 0, 1e6);
        settings.retryWindow = Millis(retryReader.readInteger("window_ms", settings.retryWindow.count(), 100, maxMillis));
        retryReader.rejectUnknownKeys();
    }
    reader.rejectUnknownKeys();
    if (const absl::Status status = joinErrors(errors); !status.ok())
        return status;
    return settings;
}

} // namespace hemlockweir
