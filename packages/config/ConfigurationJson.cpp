// JSON serialization of the published configuration.

#include "config/Configuration.h"
#include "config/FieldReader.h"

#include <QJsonArray>
#include <QJsonDocument>

namespace hemlockweir {

static QString toQString(const std::string& value)
{
    return QString::fromStdString(value);
}

QByteArray formatConfiguration(const Configuration& configuration)
{
    QJsonArray priorities;
    for (const PriorityClass& priority : configuration.priorities) {
        priorities.append(QJsonObject { { "name", toQString(priority.name) }, { "rank", static_cast<int>(priority.rank) },
            { "first_token_ms", static_cast<int>(priority.firstTokenMs) }, { "deadline_ms", static_cast<int>(priority.deadlineMs) },
            { "floor_share", priority.floorShare } });
    }
    QJsonArray callers;
    for (const Caller& caller : configuration.callers) {
        callers.append(QJsonObject { { "name", toQString(caller.name) }, { "key_sha256", toQString(caller.keySha256) },
            { "weight", caller.weight }, { "default_priority", toQString(caller.defaultPriority) } });
    }
    QJsonArray models;
    for (const Model& model : configuration.models) {
        models.append(QJsonObject { { "name", toQString(model.name) }, { "pool", toQString(model.pool) },
            { "members", static_cast<int>(model.members) }, { "replicas", static_cast<int>(model.replicas) } });
    }
    QJsonArray services;
    for (const PlainService& service : configuration.services) {
        services.append(QJsonObject { { "name", toQString(service.name) }, { "pool", toQString(service.pool) },
            { "path", toQString(service.path) }, { "idempotent", service.idempotent } });
    }
    QJsonArray former;
    for (const std::string& publication : configuration.formerPublications)
        former.append(toQString(publication));
    const QJsonObject root { { "publication", toQString(configuration.publication) }, { "former_publications", former },
        { "author", toQString(configuration.author) }, { "published_at_ms", static_cast<double>(configuration.publishedAtMs) },
        { "priorities", priorities }, { "callers", callers },
        { "models", models }, { "services", services } };
    return QJsonDocument(root).toJson(QJsonDocument::Compact);
}

static PriorityClass readPriority(FieldReader& fields)
{
    return { .name = fields.requireString("name"),
        .rank = fields.readUnsigned("rank", 0, 0, maxRank),
        .firstTokenMs = fields.readUnsigned("first_token_ms", 310, 1, maxFirstTokenMs),
        .deadlineMs = fields.readUnsigned("deadline_ms", 10000, 1, maxDeadlineMs),
        .floorShare = fields.readNumber("floor_share", 0.0, 0.0, 1.0) };
}

static Caller readCaller(FieldReader& fields)
{
    return { .name = fields.requireString("name"),
        .keySha256 = fields.requireString("key_sha256"),
        .weight = fields.readNumber("weight", 1.0, minWeight, maxWeight),
        .defaultPriority = fields.requireString("default_priority") };
}

static Model readModel(FieldReader& fields)
{
    return { .name = fields.requireString("name"),
        .pool = fields.requireString("pool"),
        .members = fields.readUnsigned("members", 1, 1, maxMembers),
        .replicas = fields.readUnsigned("replicas", 0, 0, maxReplicas) };
}

static PlainService readService(FieldReader& fields)
{
    return { .name = fields.requireString("name"),
        .pool = fields.requireString("pool"),
        .path = fields.requireString("path"),
        .idempotent = fields.readBool("idempotent", false) };
}

template <typename T>
static std::vector<T> readEntries(FieldReader& root, const char* name, T (*read)(FieldReader&))
{
    std::vector<T> items;
    for (FieldReader& fields : root.readObjects(name))
        items.push_back(read(fields));
    return items;
}

absl::StatusOr<Configuration> parseConfiguration(const QByteArray& json)
{
    if (json.size() > maxConfigurationBytes)
        return absl::InvalidArgumentError("configuration is larger than " + std::to_string(maxConfigurationBytes) + " bytes");
    QJsonParseError error {};
    const QJsonDocument document = QJsonDocument::fromJson(json, &error);
    if (!document.isObject())
        return absl::InvalidArgumentError("configuration is not a JSON object: " + error.errorString().toStdString());
    absl::Status status;
    FieldReader root(document.object(), "", status);
    Configuration configuration;
    configuration.publication = root.readString("publication");
    configuration.formerPublications = root.readStrings("former_publications", maxFormerPublications);
    configuration.author = root.readString("author");
    configuration.publishedAtMs = root.readTimestampMs("published_at_ms");
    configuration.priorities = readEntries(root, "priorities", readPriority);
    configuration.callers = readEntries(root, "callers", readCaller);
    configuration.models = readEntries(root, "models", readModel);
    configuration.services = readEntries(root, "services", readService);
    if (!status.ok())
        return status;
    if (status = validateConfiguration(configuration); !status.ok())
        return status;
    return configuration;
}

} // namespace hemlockweir
