#include "config/Configuration.h"

#include <QCryptographicHash>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <cmath>
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
    const QJsonObject root { { "publication", text(configuration.publication) }, { "former_publications", former },
        { "author", text(configuration.author) }, { "published_at_ms", static_cast<double>(configuration.publishedAtMs) },
        { "priorities", priorities }, { "callers", callers },
        { "models", models }, { "services", services } };
    return QJsonDocument(root).toJson(QJsonDocument::Compact);
}

// Reads the fields of one JSON object strictly. Unknown fields are let pass, so that nodes of two
// versions can share a configuration; a known field of a wrong type never becomes a default.
class FieldReader {
public:
    FieldReader(QJsonObject object, std::string where, absl::Status& status)
        : object_(std::move(object))
        , where_(std::move(where))
        , status_(status)
    {
    }

    std::string requireText(const char* name)
    {
        const QJsonValue value = object_[QLatin1String(name)];
        if (!value.isString() || value.toString().isEmpty())
            note(name, "is required and is a string");
        return value.toString().toStdString();
    }

    std::string readText(const char* name)
    {
        const QJsonValue value = object_[QLatin1String(name)];
        if (!value.isUndefined() && !value.isString())
            note(name, "is a string");
        return value.toString().toStdString();
    }

    double readNumber(const char* name, double fallback, double least, double most)
    {
        const QJsonValue value = object_[QLatin1String(name)];
        if (value.isUndefined())
            return fallback;
        if (!value.isDouble() || !(value.toDouble() >= least && value.toDouble() <= most))
            note(name, "is a number from " + std::to_string(least) + " to " + std::to_string(most));
        return value.toDouble(fallback);
    }

    uint32_t readCount(const char* name, uint32_t fallback, uint32_t least, uint32_t most)
    {
        const double value = readNumber(name, fallback, least, most);
        if (std::floor(value) != value)
            note(name, "is a whole number");
        return status_.ok() ? static_cast<uint32_t>(value) : fallback;
    }

    int64_t readTime(const char* name)
    {
        constexpr double mostExact = 9007199254740992.0; // 2^53
        const double value = readNumber(name, 0, 0, mostExact);
        return status_.ok() ? static_cast<int64_t>(value) : 0;
    }

    bool readBool(const char* name, bool fallback)
    {
        const QJsonValue value = object_[QLatin1String(name)];
        if (!value.isUndefined() && !value.isBool())
            note(name, "is true or false");
        return value.toBool(fallback);
    }

    // The strings of an array that may be absent; at most so many.
    std::vector<std::string> readTexts(const char* name, size_t most)
    {
        std::vector<std::string> texts;
        const QJsonValue value = object_[QLatin1String(name)];
        if (!value.isUndefined() && !value.isArray())
            note(name, "is an array");
        for (const QJsonValue& element : value.toArray()) {
            if (!element.isString())
                note(name, "holds strings only");
            if (texts.size() < most)
                texts.push_back(element.toString().toStdString());
        }
        return texts;
    }

    // One reader for each element of a required array of objects.
    std::vector<FieldReader> readObjects(const char* name)
    {
        std::vector<FieldReader> readers;
        const QJsonValue value = object_[QLatin1String(name)];
        if (!value.isArray())
            note(name, "is required and is an array");
        for (const QJsonValue& element : value.toArray()) {
            if (!element.isObject())
                note(name, "holds objects only");
            readers.emplace_back(element.toObject(), std::string(name) + "[" + std::to_string(readers.size()) + "].", status_);
        }
        return readers;
    }

private:
    void note(const char* name, const std::string& message)
    {
        if (status_.ok())
            status_ = absl::InvalidArgumentError(where_ + name + " " + message);
    }

    QJsonObject object_;
    std::string where_;
    absl::Status& status_;
};

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

bool pathsOverlap(const std::string& a, const std::string& b)
{
    return a == b || a.starts_with(b + "/") || b.starts_with(a + "/");
}

std::string describePathMistake(const std::string& path)
{
    const bool isClean = path.size() > 1 && path.starts_with('/') && !path.ends_with('/')
        && path.find("//") == std::string::npos && path.find_first_of(" \t?#%") == std::string::npos;
    if (!isClean)
        return "write a path such as \"/orders\": it starts with / and ends without, and holds no blank, ?, # or %";
    for (const char* own : { "/v1", "/operator", "/healthz", "/readyz", "/metrics" }) {
        if (pathsOverlap(path, own))
            return std::string("overlaps ") + own + ", which the node answers itself; write another path";
    }
    return {};
}

static absl::Status validateServices(const std::vector<PlainService>& services)
{
    for (auto service = services.begin(); service != services.end(); ++service) {
        if (const std::string mistake = describePathMistake(service->path); !mistake.empty())
            return absl::InvalidArgumentError("service '" + service->name + "': path: " + mistake);
        for (auto other = services.begin(); other != service; ++other) {
            if (pathsOverlap(service->path, other->path))
                return absl::InvalidArgumentError("service '" + service->name + "': path overlaps that of service '" + other->name + "'");
        }
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
    return validateServices(configuration.services);
}

std::string hashCallerKey(const QByteArray& key)
{
    return QCryptographicHash::hash(key, QCryptographicHash::Sha256).toHex().toStdString();
}

} // namespace hemlockweir
