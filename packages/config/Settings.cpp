#include "config/Settings.h"

#include "config/ConnectionShares.h"
#include "config/TomlReader.h"

#include <QHostAddress>
#include <QUrl>
#include <set>

namespace hemlockweir {

// Memory to have for each connection, in bytes, with its buffers.
static constexpr size_t plainConnectionBytes = size_t { 16 } * 1024;
static constexpr size_t tlsConnectionBytes = size_t { 64 } * 1024;

std::string Endpoint::toString() const
{
    const bool isIpv6 = address.find(':') != std::string::npos;
    return (isIpv6 ? "[" + address + "]" : address) + ":" + std::to_string(port);
}

absl::StatusOr<Endpoint> parseEndpoint(const std::string& text)
{
    const QUrl url(QString::fromStdString("http://" + text), QUrl::StrictMode);
    const QHostAddress address(url.host());
    if (!url.isValid() || address.isNull() || url.port() <= 0)
        return absl::InvalidArgumentError("write ADDRESS:PORT with an IP address, such as \"10.0.0.4:8080\"");
    return Endpoint { .address = address.toString().toStdString(), .port = static_cast<uint16_t>(url.port()) };
}

static Endpoint readEndpoint(TableReader& reader, std::string_view key)
{
    const std::string text = reader.requireString(key);
    if (text.empty())
        return {};
    const absl::StatusOr<Endpoint> endpoint = parseEndpoint(text);
    if (endpoint.ok())
        return *endpoint;
    reader.addError(key, std::string(endpoint.status().message()));
    return {};
}

static void checkUrl(TableReader& reader, std::string_view key, const std::string& text)
{
    const QUrl url(QString::fromStdString(text), QUrl::StrictMode);
    if (!url.isValid() || url.scheme() != "http" || QHostAddress(url.host()).isNull())
        reader.addError(key, "write http://ADDRESS:PORT with an IP address");
}

static void rejectDuplicates(TableReader& reader, std::string_view key, const std::vector<std::string>& values)
{
    std::set<std::string> seen;
    for (const std::string& value : values) {
        if (!seen.insert(value).second)
            reader.addError(key, "'" + value + "' is listed twice; keep one");
    }
}

static void readNode(TableReader& reader, Settings& settings)
{
    constexpr size_t minKeyBytes = 16;
    settings.node = reader.requireString("name");
    settings.domain = reader.requireString("failure_domain");
    settings.region = reader.readString("region", "default");
    settings.callers = readEndpoint(reader, "callers");
    settings.peers = readEndpoint(reader, "peers");
    settings.advertisedPeers = reader.readString("advertised_peers", "").empty() ? settings.peers : readEndpoint(reader, "advertised_peers");
    const std::vector<std::string> seeds = reader.readStrings("seeds");
    rejectDuplicates(reader, "seeds", seeds);
    for (const std::string& seed : seeds) {
        const absl::StatusOr<Endpoint> endpoint = parseEndpoint(seed);
        if (endpoint.ok())
            settings.seeds.push_back(*endpoint);
        else
            reader.addError("seeds", "'" + seed + "': " + std::string(endpoint.status().message()));
    }
    settings.clusterKey = reader.requireString("cluster_key");
    if (!settings.clusterKey.empty() && settings.clusterKey.size() < minKeyBytes)
        reader.addError("cluster_key", "write a secret of at least 16 characters, the same on every node");
    settings.operatorKey = reader.requireString("operator_key");
    if (!settings.operatorKey.empty() && settings.operatorKey.size() < minKeyBytes)
        reader.addError("operator_key", "write a secret of at least 16 characters that operators send as Authorization: Bearer KEY");
    if (!settings.operatorKey.empty() && settings.operatorKey == settings.clusterKey)
        reader.addError("operator_key", "is the same as cluster_key; write a different secret, otherwise operators could authenticate as nodes");
    settings.workers = static_cast<int>(reader.readInteger("workers", settings.workers, 1, 64));
    if (!settings.callers.address.empty() && settings.callers == settings.peers)
        reader.addError("peers", "is the same address as callers; write a different port");
}

static void readPlatform(TableReader& reader, Settings& settings)
{
    settings.platformUrls = reader.readStrings("urls");
    if (settings.platformUrls.empty())
        reader.addError("urls", "write at least one URL, such as [\"http://10.0.0.2:2379\"]");
    rejectDuplicates(reader, "urls", settings.platformUrls);
    for (const std::string& url : settings.platformUrls)
        checkUrl(reader, "urls", url);
    settings.instancesUrl = reader.requireString("instances_url");
    if (!settings.instancesUrl.empty())
        checkUrl(reader, "instances_url", settings.instancesUrl);
}

static Millis readMillis(TableReader& reader, std::string_view key, Millis fallback, int64_t min)
{
    constexpr int64_t dayMs = 86400000;
    return Millis(reader.readInteger(key, fallback.count(), min, dayMs));
}

static void readTls(TableReader& reader, Settings& settings)
{
    settings.tlsCertificateFile = reader.readString("certificate_file", "");
    settings.tlsKeyFile = reader.readString("key_file", "");
    settings.tlsCheckInterval = readMillis(reader, "check_interval_ms", settings.tlsCheckInterval, 10);
    if (settings.tlsCertificateFile.empty() && !settings.tlsKeyFile.empty())
        reader.addError("certificate_file", "is required with key_file; write the path of the PEM certificate, or leave both out for plain HTTP");
    if (!settings.tlsCertificateFile.empty() && settings.tlsKeyFile.empty())
        reader.addError("key_file", "is required with certificate_file; write the path of the PEM private key, or leave both out for plain HTTP");
}

// Lowers the bounds of the settings to what the machine can hold.
static void applyMachine(const MachineLimits& machine, Settings& settings)
{
    // The memory is also for requests at work, for what the allocator does not return, and for the buffers of the kernel.
    constexpr size_t callerMemoryShare = 4;
    settings.callerMemory = shareOfMemory(machine, callerMemoryShare, settings.callerMemory);
    if (!machine.openFiles)
        return;
    const ConnectionShares shares = shareDescriptors(*machine.openFiles);
    settings.maxConnections = static_cast<int>(std::min(static_cast<size_t>(settings.maxConnections), shares.callers));
    settings.maxPeerConnections = static_cast<int>(std::min(static_cast<size_t>(settings.maxPeerConnections), shares.control));
}

static void readLimits(TableReader& reader, Settings& settings, const MachineLimits& machine)
{
    settings.headBytes = static_cast<size_t>(reader.readInteger("head_bytes", static_cast<int64_t>(settings.headBytes), 1024, 1024 * 1024));
    settings.bodyBytes = static_cast<size_t>(reader.readInteger("body_bytes", static_cast<int64_t>(settings.bodyBytes), 1024, 1024 * 1024 * 1024));
    settings.requestTimeout = readMillis(reader, "request_timeout_ms", settings.requestTimeout, 10);
    settings.idleTimeout = readMillis(reader, "idle_timeout_ms", settings.idleTimeout, 10);
    settings.callerMemory = static_cast<size_t>(reader.readInteger("caller_memory_bytes", static_cast<int64_t>(settings.callerMemory), 1024 * 1024, int64_t { 1024 } * 1024 * 1024 * 1024));
    // Many connections without any request must leave room in the budget. TLS takes more of it.
    const size_t connectionBytes = settings.tlsCertificateFile.empty() ? plainConnectionBytes : tlsConnectionBytes;
    const int fitting = static_cast<int>(std::max<size_t>(1, std::min(static_cast<size_t>(settings.maxConnections), settings.callerMemory / connectionBytes)));
    settings.maxConnections = static_cast<int>(reader.readInteger("max_connections", fitting, 1, 1000000));
    settings.maxConnectionsPerAddress = static_cast<int>(reader.readInteger("max_connections_per_address", settings.maxConnectionsPerAddress, 1, 1000000));
    const int defaultPerAddress = Settings().maxConnectionsPerAddress;
    if (settings.maxConnectionsPerAddress > settings.maxConnections && settings.maxConnectionsPerAddress != defaultPerAddress)
        reader.addError("max_connections_per_address", "is above max_connections and has no effect; write at most " + std::to_string(settings.maxConnections));
    if (machine.openFiles)
        settings.maxConnections = std::min(settings.maxConnections, static_cast<int>(shareDescriptors(*machine.openFiles).callers));
    settings.maxWaiting = static_cast<int>(reader.readInteger("max_waiting", settings.maxWaiting, 0, 1000000));
    settings.maxRequestsPerCaller = static_cast<int>(reader.readInteger("max_requests_per_caller", settings.maxRequestsPerCaller, 1, 1000000));
    settings.claimSharingNodes = static_cast<int>(reader.readInteger("claim_sharing_nodes", settings.claimSharingNodes, 2, 1000000));
    settings.discardBytes = reader.readInteger("discard_bytes", settings.discardBytes, 0, 1024 * 1024 * 1024);
    settings.replyBufferBytes = reader.readInteger("reply_buffer_bytes", settings.replyBufferBytes, 1024, 1024 * 1024 * 1024);
}

static void readSchedule(TableReader& reader, Settings& settings)
{
    settings.schedulePolicy = reader.readString("policy", settings.schedulePolicy);
    static const std::set<std::string> policies { "full", "no_admission", "round_robin", "least_in_flight" };
    if (!policies.contains(settings.schedulePolicy))
        reader.addError("policy", "write \"full\", \"no_admission\", \"round_robin\" or \"least_in_flight\"");
}

static void readTiming(TableReader& reader, Settings& settings)
{
    settings.heartbeatInterval = readMillis(reader, "heartbeat_interval_ms", settings.heartbeatInterval, 10);
    settings.statusInterval = readMillis(reader, "status_interval_ms", settings.statusInterval, 10);
    settings.statusFreshness = readMillis(reader, "status_freshness_ms", settings.statusFreshness, 20);
    settings.leaseTtl = readMillis(reader, "lease_ttl_ms", settings.leaseTtl, 1000);
    settings.silenceTimeout = readMillis(reader, "silence_timeout_ms", settings.silenceTimeout, 10);
    settings.callerTimeout = readMillis(reader, "caller_timeout_ms", settings.callerTimeout, 1000);
    settings.reportShareInterval = readMillis(reader, "report_share_interval_ms", settings.reportShareInterval, 10);
    settings.reportFlushInterval = readMillis(reader, "report_flush_interval_ms", settings.reportFlushInterval, 10);
    settings.shutdownQuiet = readMillis(reader, "shutdown_quiet_ms", settings.shutdownQuiet, 0);
    settings.shutdownTimeout = readMillis(reader, "shutdown_timeout_ms", settings.shutdownTimeout, 0);
    if (settings.reportFlushInterval < settings.reportShareInterval)
        reader.addError("report_flush_interval_ms", "write at least report_share_interval_ms");
    if (settings.leaseTtl < 2 * settings.heartbeatInterval)
        reader.addError("lease_ttl_ms", "write at least twice heartbeat_interval_ms, otherwise the lease expires between two renewals");
    if (settings.statusFreshness < 2 * settings.statusInterval)
        reader.addError("status_freshness_ms", "write at least twice status_interval_ms, otherwise no group is ever served");
}

absl::StatusOr<Settings> parseSettings(const std::string& text, const std::string& file, const MachineLimits& machine)
{
    const absl::StatusOr<toml::table> table = parseToml(text, file);
    if (!table.ok())
        return table.status();
    Settings settings;
    applyMachine(machine, settings);
    std::vector<std::string> errors;
    TableReader root(*table, file, "", errors);
    const toml::table empty;
    auto readSection = [&](std::string_view name, const std::function<void(TableReader&, Settings&)>& read) {
        const toml::table* section = root.readTable(name);
        TableReader reader(section ? *section : empty, file, std::string(name), errors);
        read(reader, settings);
        reader.rejectUnknownKeys();
    };
    readSection("node", readNode);
    readSection("platform", readPlatform);
    readSection("tls", readTls);
    readSection("limits", [&machine](TableReader& reader, Settings& read) { readLimits(reader, read, machine); });
    readSection("schedule", readSchedule);
    readSection("timing", readTiming);
    root.rejectUnknownKeys();
    if (const absl::Status status = joinErrors(errors); !status.ok())
        return status;
    return settings;
}

} // namespace hemlockweir
