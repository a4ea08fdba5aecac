#include "gateway/GatewaySettings.h"

#include "config/ConnectionShares.h"
#include "config/TomlReader.h"

#include <algorithm>
#include <cstdint>

namespace hemlockweir {

static constexpr int64_t maxMillis = 3600 * 1000;
static constexpr int64_t bytesPerMegabyte = 1024 * 1024;
static constexpr int64_t maxMegabytes = 1024 * 1024;
// Each budget is a quarter of the memory of the machine. The other half is for the process itself (16 MB at rest, 20 to 30 MB
// with the state of a large deployment), for what the allocator does not return, and for the buffers of the kernel.
static constexpr size_t budgetShare = 4;
// Memory budgeted for each connection of a caller, so that many small heads can't take the budget before they are refused.
static constexpr size_t bytesPerConnection = size_t { 16 } * 1024;

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

// Derives the bounds from the descriptors that the process may open.
static void boundConnections(ProcessBounds& bounds, size_t maxOpenFiles)
{
    const ConnectionShares shares = shareDescriptors(maxOpenFiles);
    bounds.callerConnections = std::min(shares.callers, bounds.callerMemory / bytesPerConnection);
    bounds.controlConnections = shares.control;
    bounds.idleEndpointConnections = shares.idleEndpoints;
}

// Returns the bounds that hold without settings.
static ProcessBounds deriveBounds(const MachineLimits& machine)
{
    ProcessBounds bounds;
    bounds.callerMemory = shareOfMemory(machine, budgetShare, bounds.callerMemory);
    bounds.endpointMemory = shareOfMemory(machine, budgetShare, bounds.endpointMemory);
    if (machine.openFiles)
        boundConnections(bounds, *machine.openFiles);
    return bounds;
}

static ProcessBounds readBounds(TableReader& reader, const MachineLimits& machine)
{
    constexpr int64_t minMemory = 16; // MB, of the machine; a process at rest takes that much
    constexpr int64_t minOpenFiles = 128;
    ProcessBounds bounds = deriveBounds(machine);
    const auto memory = static_cast<size_t>(reader.readInteger("memory_mb", 0, minMemory, maxMegabytes) * bytesPerMegabyte);
    const auto openFiles = static_cast<size_t>(reader.readInteger("max_open_files", 0, minOpenFiles, INT32_MAX));
    if (memory > 0)
        bounds.callerMemory = bounds.endpointMemory = memory / budgetShare;
    const auto readBudget = [&](std::string_view key, size_t fallback) {
        const int64_t megabytes = reader.readInteger(key, 0, 1, maxMegabytes);
        return megabytes > 0 ? static_cast<size_t>(megabytes * bytesPerMegabyte) : fallback;
    };
    bounds.callerMemory = readBudget("caller_memory_mb", bounds.callerMemory);
    bounds.endpointMemory = readBudget("endpoint_memory_mb", bounds.endpointMemory);
    if (memory > 0 && bounds.callerMemory + bounds.endpointMemory > memory)
        reader.addError("caller_memory_mb", "with endpoint_memory_mb is above memory_mb; write budgets that fit into the memory together");
    const size_t usableFiles = openFiles > 0 ? openFiles : machine.openFiles.value_or(0);
    if (usableFiles > 0)
        boundConnections(bounds, usableFiles);
    bounds.discardBytes = static_cast<size_t>(reader.readInteger("discard_bytes", static_cast<int64_t>(bounds.discardBytes), 0, bytesPerMegabyte * maxMegabytes));
    const int64_t connections = reader.readInteger("max_connections", 0, 1, INT32_MAX);
    if (connections > 0 && usableFiles > 0 && static_cast<size_t>(connections) > bounds.callerConnections)
        reader.addError("max_connections", "leaves too few descriptors or too little memory; write at most " + std::to_string(bounds.callerConnections));
    if (connections > 0)
        bounds.callerConnections = static_cast<size_t>(connections);
    return bounds;
}

absl::StatusOr<GatewaySettings> parseGatewaySettings(const std::string& text, const std::string& file, const MachineLimits& machine)
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
    settings.bounds = deriveBounds(machine);
    if (const toml::table* memory = reader.readTable("memory")) {
        TableReader memoryReader(*memory, file, "gateway.memory", errors);
        settings.bounds = readBounds(memoryReader, machine);
        memoryReader.rejectUnknownKeys();
    }
    reader.rejectUnknownKeys();
    if (const absl::Status status = joinErrors(errors); !status.ok())
        return status;
    return settings;
}

} // namespace hemlockweir
