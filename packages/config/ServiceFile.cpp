#include "config/ServiceFile.h"

#include "config/TomlReader.h"

namespace hemlockweir {

static PriorityClass readPriority(TableReader& reader)
{
    return {
        .name = reader.requireString("name"),
        .rank = static_cast<uint32_t>(reader.readInteger("rank", 0, 0, 9)),
        .firstTokenMs = static_cast<uint32_t>(reader.readInteger("first_token_ms", 310, 1, 3600000)),
        .deadlineMs = static_cast<uint32_t>(reader.readInteger("deadline_ms", 10000, 1, 86400000)),
        .floorShare = reader.readNumber("floor_share", 0.0, 0.0, 1.0),
    };
}

static Caller readCaller(TableReader& reader)
{
    Caller caller {
        .name = reader.requireString("name"),
        .keySha256 = reader.requireString("key_sha256"),
        .weight = reader.readNumber("weight", 1.0, 0.001, 1000000.0),
        .defaultPriority = reader.requireString("default_priority"),
    };
    constexpr size_t sha256Digits = 64;
    const bool isHash = caller.keySha256.size() == sha256Digits && caller.keySha256.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!caller.keySha256.empty() && !isHash)
        reader.noteError("key_sha256", "write the 64 lower-case digits that `printf %s KEY | sha256sum` prints");
    return caller;
}

static Model readModel(TableReader& reader)
{
    return {
        .name = reader.requireString("name"),
        .pool = reader.requireString("pool"),
        .members = static_cast<uint32_t>(reader.readInteger("members", 1, 1, 64)),
        .replicas = static_cast<uint32_t>(reader.readInteger("replicas", 0, 0, 10000)),
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
    if (!service.path.empty() && !service.path.starts_with('/'))
        reader.noteError("path", "write a path that starts with /");
    return service;
}

// Reads every table of one kind with `readItem` and appends what it returns.
template <typename T, typename ReadItem>
static void readAll(TableReader& root, std::string_view kind, const std::string& file, std::vector<std::string>& errors,
    std::vector<T>& items, ReadItem readItem)
{
    for (const toml::table* table : root.readTables(kind)) {
        TableReader reader(*table, file, std::string(kind), errors);
        items.push_back(readItem(reader));
        reader.rejectUnknownKeys();
    }
}

absl::StatusOr<Configuration> collectConfiguration(const std::vector<ServiceFile>& files)
{
    Configuration configuration;
    std::vector<std::string> errors;
    for (const ServiceFile& file : files) {
        const absl::StatusOr<toml::table> table = parseToml(file.text, file.name);
        if (!table.ok()) {
            errors.emplace_back(table.status().message());
            continue;
        }
        TableReader root(*table, file.name, "", errors);
        readAll(root, "priority", file.name, errors, configuration.priorities, readPriority);
        readAll(root, "caller", file.name, errors, configuration.callers, readCaller);
        readAll(root, "model", file.name, errors, configuration.models, readModel);
        readAll(root, "service", file.name, errors, configuration.services, readService);
        root.rejectUnknownKeys();
    }
    if (const absl::Status status = joinErrors(errors); !status.ok())
        return status;
    if (const absl::Status status = validateConfiguration(configuration); !status.ok())
        return status;
    return configuration;
}

} // namespace hemlockweir
