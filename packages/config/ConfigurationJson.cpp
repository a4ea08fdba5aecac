// The configuration as the JSON document that travels.

#include "config/Configuration.h"
#include "config/FieldReader.h"

#include <QJsonArray>
#include <QJsonDocument>

namespace hemlockweir {

static QString text(const std::string& value)
{
    return QString::fromStdString(value);
}

QByteArray formatConfiguration(const Configuration& configuration)
{
    QJsonArray priorities;
    for (const PriorityClass& priority : configuration.priorities) {
        priorities.append(QJsonObject { { "name", text(priority.name) }, { "rank", static_cast<int>(priority.rank) },
            { "first_token_ms", static_cast<int>(priority.firstTokenMs) }, { "deadline_ms", static_cast<int>(priority.deadlineMs) },
            { "floor_share", priority.floorShare } });
    }
    QJsonArray callers;
    for (const Caller& caller : configuration.callers) {
        callers.append(QJsonObject { { "name", text(caller.name) }, { "key_sha256", text(caller.keySha256) },
            { "weight", caller.weight }, { "default_priority", text(caller.defaultPriority) } });
    }
    QJsonArray models;
    for (const Model& model : configuration.models) {
        models.append(QJsonObject { { "name", text(model.name) }, { "pool", text(model.pool) },
            { "members", static_cast<int>(model.members) }, { "replicas", static_cast<int>(model.replicas) } });
    }
    QJsonArray services;
    for (const PlainService& service : configuration.services) {
        services.append(QJsonObject { { "name", text(service.name) }, { "pool", text(service.pool) },
            { "path", text(service.path) }, { "idempotent", service.idempotent } });
    }
    QJsonArray former;
    for (const std::string& publication : configuration.formerPublications)
        former.append(text(publication));
    const QJsonObject root { { "publication", text(configuration.publication) }, { "former_publications", former },
        { "author", text(configuration.author) }, { "published_at_ms", static_cast<double>(configuration.publishedAtMs) },
        { "priorities", priorities }, { "callers", callers },
        { "models", models }, { "services", services } };
    return QJsonDocument(root).toJson(QJsonDocument::Compact);
}

static PriorityClass readPriority(FieldReader& fields)
{
    return { .name = fields.requireText("name"),
        .rank = fields.readCount("rank", 0, 0, maxRank),
        .firstTokenMs = fields.readCount("first_token_ms", 310, 1, maxFirstTokenMs),
        .deadlineMs = fields.readCount("deadline_ms", 10000, 1, maxDeadlineMs),
        .floorShare = fields.readNumber("floor_share", 0.0, 0.0, 1.0) };
}

static Caller readCaller(FieldReader& fields)
{
    return { .name = fields.requireText("name"),
        .keySha256 = fields.requireText("key_sha256"),
        .weight = fields.readNumber("weight", 1.0, minWeight, maxWeight),
        .defaultPriority = fields.requireText("default_priority") };
}

static Model readModel(FieldReader& fields)
{
    return { .name = fields.requireText("name"),
        .pool = fields.requireText("pool"),
        .members = fields.readCount("members", 1, 1, maxMembers),
        .replicas = fields.readCount("replicas", 0, 0, maxReplicas) };
}

static PlainService readService(FieldReader& fields)
{
    return { .name = fields.requireText("name"),
        .pool = fields.requireText("pool"),
        .path = fields.requireText("path"),
        .idempotent = fields.readBool("idempotent", false) };
}

template <typename T>
static std::vector<T> readAll(FieldReader& root, const char* name, T (*read)(FieldReader&))
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
    configuration.publication = root.readText("publication");
    configuration.formerPublications = root.readTexts("former_publications", maxFormerPublications);
    configuration.author = root.readText("author");
    configuration.publishedAtMs = root.readTime("published_at_ms");
    configuration.priorities = readAll(root, "priorities", readPriority);
    configuration.callers = readAll(root, "callers", readCaller);
    configuration.models = readAll(root, "models", readModel);
    configuration.services = readAll(root, "services", readService);
    if (!status.ok())
        return status;
    if (status = validateConfiguration(configuration); !status.ok())
        return status;
    return configuration;
}

} // namespace hemlockweir
