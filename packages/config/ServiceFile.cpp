#include "config/ServiceFile.h"

#include "config/TomlReader.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace hemlockweir {

static PriorityClass readPriority(TableReader& reader)
{
    return {
        .name = reader.requireString("name"),
        .rank = static_cast<uint32_t>(reader.readInteger("rank", 0, 0, maxRank)),
        .firstTokenMs = static_cast<uint32_t>(reader.readInteger("first_token_ms", 310, 1, maxFirstTokenMs)),
        .deadlineMs = static_cast<uint32_t>(reader.readInteger("deadline_ms", 10000, 1, maxDeadlineMs)),
        .floorShare = reader.readNumber("floor_share", 0.0, 0.0, 1.0),
    };
}

static Caller readCaller(TableReader& reader)
{
    Caller caller {
        .name = reader.requireString("name"),
        .keySha256 = reader.requireString("key_sha256"),
        .weight = reader.readNumber("weight", 1.0, minWeight, maxWeight),
        .defaultPriority = reader.requireString("default_priority"),
    };
    constexpr size_t sha256Digits = 64;
    const bool isHash = caller.keySha256.size() == sha256Digits && caller.keySha256.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!caller.keySha256.empty() && !isHash)
        reader.addError("key_sha256", "write the 64 lower-case hexadecimal digits that `printf %s KEY | sha256sum` prints");
    return caller;
}

static Model readModel(TableReader& reader)
{
    return {
        .name = reader.requireString("name"),
        .pool = reader.requireString("pool"),
        .members = static_cast<uint32_t>(reader.readInteger("members", 1, 1, maxMembers)),
        .replicas = static_cast<uint32_t>(reader.readInteger("replicas", 0, 0, maxReplicas)),
    };
}

static PlainService readService(TableReader& reader)
{
    PlainService service {
        .name = reader.requireString("name"),
        .pool = reader.requireString("pool"),
        .path = reader.requireString("path"),
        .idempotent = reader.readBool("idempotent", false),
    };
    if (const std::string error = describePathError(service.path); !service.path.empty() && !error.empty())
        reader.addError("path", error);
    return service;
}

namespace {

    // An entry and the location of its definition.
    template <typename T>
    struct Definition {
        T item;
        std::string location; // FILE:LINE
    };

    // The entries of all files, in the order in which they were read.
    struct Definitions {
        std::vector<Definition<PriorityClass>> priorities;
        std::vector<Definition<Caller>> callers;
        std::vector<Definition<Model>> models;
        std::vector<Definition<PlainService>> services;
    };

    using Errors = std::vector<std::string>;

} // namespace

// Reads every table of one kind with `readItem` and appends the results to `items`.
template <typename T>
static void readEntries(TableReader& root, std::string_view kind, const std::string& file, Errors& errors, std::vector<Definition<T>>& items, T (*readItem)(TableReader&))
{
    for (const toml::table* table : root.readTables(kind)) {
        TableReader reader(*table, file, std::string(kind), errors);
        items.push_back({ .item = readItem(reader), .location = reader.location() });
        reader.rejectUnknownKeys();
    }
}

static void readFile(const ServiceFile& file, Definitions& allDefinitions, Errors& errors)
{
    const absl::StatusOr<toml::table> table = parseToml(file.text, file.name);
    if (!table.ok()) {
        errors.emplace_back(table.status().message());
        return;
    }
    TableReader root(*table, file.name, "", errors);
    readEntries(root, "priority", file.name, errors, allDefinitions.priorities, readPriority);
    readEntries(root, "caller", file.name, errors, allDefinitions.callers, readCaller);
    readEntries(root, "model", file.name, errors, allDefinitions.models, readModel);
    readEntries(root, "service", file.name, errors, allDefinitions.services, readService);
    root.rejectUnknownKeys();
}

// Adds an error for each pair of entries that conflict. `findConflict` returns a description of the
// conflict, or an empty string.
template <typename T>
static void reportConflicts(const std::vector<Definition<T>>& items, Errors& errors, std::string (*findConflict)(const T&, const T&))
{
    for (auto later = items.begin(); later != items.end(); ++later) {
        for (auto earlier = items.begin(); earlier != later; ++earlier) {
            const std::string conflict = findConflict(earlier->item, later->item);
            if (!conflict.empty())
                errors.push_back(later->location + ": " + conflict + ", defined in " + earlier->location + " and " + later->location + "; keep one");
        }
    }
}

template <typename T>
static std::string findNameConflict(const T& a, const T& b)
{
    return !a.name.empty() && a.name == b.name ? "the name '" + a.name + "' is used twice" : "";
}

static std::string findKeyConflict(const Caller& a, const Caller& b)
{
    return !a.keySha256.empty() && a.keySha256 == b.keySha256 && a.name != b.name ? "callers '" + a.name + "' and '" + b.name + "' have the same key" : "";
}

static std::string findPathConflict(const PlainService& a, const PlainService& b)
{
    return !a.path.empty() && a.name != b.name && pathsOverlap(a.path, b.path) ? "the paths " + a.path + " and " + b.path + " overlap" : "";
}

static void checkPriorities(const Definitions& allDefinitions, Errors& errors)
{
    double floorSum = 0;
    std::string locations;
    for (const auto& [priority, location] : allDefinitions.priorities) {
        floorSum += priority.floorShare;
        if (priority.floorShare > 0)
            locations.append(locations.empty() ? "" : ", ").append(location);
    }
    if (floorSum > 1.0)
        errors.push_back(locations + ": floor_share adds up to " + std::to_string(floorSum) + "; write values with a sum of at most 1");
}

static void checkCallers(const Definitions& allDefinitions, Errors& errors)
{
    std::string knownNames;
    for (const auto& [priority, location] : allDefinitions.priorities)
        knownNames.append(knownNames.empty() ? "" : ", ").append(priority.name);
    for (const auto& [caller, location] : allDefinitions.callers) {
        const bool isKnown = std::any_of(allDefinitions.priorities.begin(), allDefinitions.priorities.end(), [&, name = caller.defaultPriority](const auto& definition) { return definition.item.name == name; });
        if (!isKnown && !caller.defaultPriority.empty())
            errors.push_back(absl::StrCat(location, ": caller.default_priority: '", caller.defaultPriority, "' is not a priority of these files; write one of: ", knownNames));
    }
}

// A plain service cannot share a pool with a model: engines are ordered to form groups, and plain
// services do not implement these orders.
static void checkPools(const Definitions& allDefinitions, Errors& errors)
{
    for (const auto& [service, location] : allDefinitions.services) {
        for (const auto& [model, modelLocation] : allDefinitions.models) {
            if (!service.pool.empty() && service.pool == model.pool)
                errors.push_back(absl::StrCat(location, ": service.pool: '", service.pool, "' is the pool of model '", model.name, "' in ", modelLocation, "; write a different pool"));
        }
    }
}

template <typename T>
static std::vector<T> extractItems(const std::vector<Definition<T>>& definitions)
{
    std::vector<T> items;
    items.reserve(definitions.size());
    for (const Definition<T>& definition : definitions)
        items.push_back(definition.item);
    return items;
}

absl::StatusOr<Configuration> buildConfiguration(const std::vector<ServiceFile>& files)
{
    Definitions allDefinitions;
    Errors errors;
    for (const ServiceFile& file : files)
        readFile(file, allDefinitions, errors);
    reportConflicts(allDefinitions.priorities, errors, findNameConflict<PriorityClass>);
    reportConflicts(allDefinitions.callers, errors, findNameConflict<Caller>);
    reportConflicts(allDefinitions.callers, errors, findKeyConflict);
    reportConflicts(allDefinitions.models, errors, findNameConflict<Model>);
    reportConflicts(allDefinitions.services, errors, findNameConflict<PlainService>);
    reportConflicts(allDefinitions.services, errors, findPathConflict);
    checkPriorities(allDefinitions, errors);
    checkCallers(allDefinitions, errors);
    checkPools(allDefinitions, errors);
    if (const absl::Status status = joinErrors(errors); !status.ok())
        return status;
    Configuration configuration { .priorities = extractItems(allDefinitions.priorities), .callers = extractItems(allDefinitions.callers), .models = extractItems(allDefinitions.models), .services = extractItems(allDefinitions.services) };
    if (const absl::Status status = validateConfiguration(configuration); !status.ok())
        return status;
    return configuration;
}

} // namespace hemlockweir
