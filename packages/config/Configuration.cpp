#include "config/Configuration.h"

#include <QCryptographicHash>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <set>

namespace hemlockweir {

template <typename T, typename Matches>
static const T* findIn(const std::vector<T>& items, Matches matches)
{
    const auto found = std::find_if(items.begin(), items.end(), matches);
    return found == items.end() ? nullptr : &*found;
}

const Caller* Configuration::findCallerByKey(const std::string& keySha256) const
{
    return findIn(callers, [&](const Caller& caller) { return caller.keySha256 == keySha256; });
}

const Caller* Configuration::findCaller(const std::string& name) const
{
    return findIn(callers, [&](const Caller& caller) { return caller.name == name; });
}

const PriorityClass* Configuration::findPriority(const std::string& name) const
{
    return findIn(priorities, [&](const PriorityClass& priority) { return priority.name == name; });
}

const Model* Configuration::findModel(const std::string& name) const
{
    return findIn(models, [&](const Model& model) { return model.name == name; });
}

const PlainService* Configuration::findService(const std::string& path) const
{
    return findIn(services, [&](const PlainService& service) {
        return path == service.path || path.starts_with(service.path + "/");
    });
}

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
    const QJsonObject root { { "publication", text(configuration.publication) }, { "former_publications", former }, { "priorities", priorities }, { "callers", callers },
        { "models", models }, { "services", services } };
    return QJsonDocument(root).toJson(QJsonDocument::Compact);
}

static absl::Status requireArrays(const QJsonObject& root)
{
    for (const char* key : { "priorities", "callers", "models", "services" }) {
        const QJsonValue value = root[QLatin1String(key)];
        if (!value.isArray())
            return absl::InvalidArgumentError(std::string("configuration without an array \"") + key + "\"");
        for (const QJsonValue& item : value.toArray()) {
            if (!item.isObject())
                return absl::InvalidArgumentError(std::string("\"") + key + "\" holds something that is not an object");
        }
    }
    return absl::OkStatus();
}

absl::StatusOr<Configuration> parseConfiguration(const QByteArray& json)
{
    QJsonParseError error {};
    const QJsonDocument document = QJsonDocument::fromJson(json, &error);
    if (!document.isObject())
        return absl::InvalidArgumentError("configuration is not a JSON object: " + error.errorString().toStdString());
    const QJsonObject root = document.object();
    if (const absl::Status status = requireArrays(root); !status.ok())
        return status;
    Configuration configuration;
    configuration.publication = root["publication"].toString().toStdString();
    for (const QJsonValue& value : root["former_publications"].toArray()) {
        if (configuration.formerPublications.size() < maxFormerPublications)
            configuration.formerPublications.push_back(value.toString().toStdString());
    }
    for (const QJsonValue& value : root["priorities"].toArray()) {
        const QJsonObject object = value.toObject();
        configuration.priorities.push_back({
            .name = object["name"].toString().toStdString(),
            .rank = static_cast<uint32_t>(object["rank"].toInt()),
            .firstTokenMs = static_cast<uint32_t>(object["first_token_ms"].toInt()),
            .deadlineMs = static_cast<uint32_t>(object["deadline_ms"].toInt()),
            .floorShare = object["floor_share"].toDouble(),
        });
    }
    for (const QJsonValue& value : root["callers"].toArray()) {
        const QJsonObject object = value.toObject();
        configuration.callers.push_back({
            .name = object["name"].toString().toStdString(),
            .keySha256 = object["key_sha256"].toString().toStdString(),
            .weight = object["weight"].toDouble(1.0),
            .defaultPriority = object["default_priority"].toString().toStdString(),
        });
    }
    for (const QJsonValue& value : root["models"].toArray()) {
        const QJsonObject object = value.toObject();
        configuration.models.push_back({
            .name = object["name"].toString().toStdString(),
            .pool = object["pool"].toString().toStdString(),
            .members = static_cast<uint32_t>(object["members"].toInt(1)),
            .replicas = static_cast<uint32_t>(object["replicas"].toInt(1)),
        });
    }
    for (const QJsonValue& value : root["services"].toArray()) {
        const QJsonObject object = value.toObject();
        configuration.services.push_back({
            .name = object["name"].toString().toStdString(),
            .pool = object["pool"].toString().toStdString(),
            .path = object["path"].toString().toStdString(),
            .idempotent = object["idempotent"].toBool(),
        });
    }
    if (const absl::Status status = validateConfiguration(configuration); !status.ok())
        return status;
    return configuration;
}

template <typename T>
static absl::Status requireUniqueNames(const std::vector<T>& items, const std::string& kind)
{
    std::set<std::string> names;
    for (const T& item : items) {
        if (item.name.empty())
            return absl::InvalidArgumentError(kind + " without a name");
        if (!names.insert(item.name).second)
            return absl::InvalidArgumentError(kind + " '" + item.name + "' is defined twice");
    }
    return absl::OkStatus();
}

absl::Status validateConfiguration(const Configuration& configuration)
{
    for (const absl::Status& status : { requireUniqueNames(configuration.priorities, "priority"), requireUniqueNames(configuration.callers, "caller"),
             requireUniqueNames(configuration.models, "model"), requireUniqueNames(configuration.services, "service") }) {
        if (!status.ok())
            return status;
    }
    double floors = 0;
    for (const PriorityClass& priority : configuration.priorities)
        floors += priority.floorShare;
    if (floors > 1.0)
        return absl::InvalidArgumentError("the floor_share of all priorities add up to more than 1");
    for (const Caller& caller : configuration.callers) {
        if (caller.weight <= 0)
            return absl::InvalidArgumentError("caller '" + caller.name + "' needs a weight above 0");
        if (!configuration.findPriority(caller.defaultPriority))
            return absl::InvalidArgumentError("caller '" + caller.name + "' names the unknown priority '" + caller.defaultPriority + "'");
    }
    for (const Model& model : configuration.models) {
        if (model.members == 0)
            return absl::InvalidArgumentError("model '" + model.name + "' needs at least 1 member");
    }
    return absl::OkStatus();
}

std::string hashCallerKey(const QByteArray& key)
{
    return QCryptographicHash::hash(key, QCryptographicHash::Sha256).toHex().toStdString();
}

} // namespace hemlockweir
