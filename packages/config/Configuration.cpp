#include "config/Configuration.h"

#include <QCryptographicHash>
#include <algorithm>
#include <set>

namespace hemlockweir {

template <typename T, typename Matches>
static const T* findMatch(const std::vector<T>& items, Matches matches)
{
    const auto found = std::find_if(items.begin(), items.end(), matches);
    return found == items.end() ? nullptr : &*found;
}

const Caller* Configuration::findCallerByKey(const std::string& keySha256) const
{
    return findMatch(callers, [&](const Caller& caller) { return caller.keySha256 == keySha256; });
}

const Caller* Configuration::findCaller(const std::string& name) const
{
    return findMatch(callers, [&](const Caller& caller) { return caller.name == name; });
}

const PriorityClass* Configuration::findPriority(const std::string& name) const
{
    return findMatch(priorities, [&](const PriorityClass& priority) { return priority.name == name; });
}

const Model* Configuration::findModel(const std::string& name) const
{
    return findMatch(models, [&](const Model& model) { return model.name == name; });
}

const PlainService* Configuration::findService(const std::string& path) const
{
    return findMatch(services, [&](const PlainService& service) {
        return path == service.path || path.starts_with(service.path + "/");
    });
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

std::string describePathError(const std::string& path)
{
    const bool isClean = path.size() > 1 && path.starts_with('/') && !path.ends_with('/')
        && path.find("//") == std::string::npos && path.find_first_of(" \t?#%") == std::string::npos;
    if (!isClean)
        return "write a path such as \"/orders\": it must start with / but not end with it, and must not contain //, blanks, ?, # or %";
    for (const char* reservedPath : { "/v1", "/operator", "/healthz", "/readyz", "/metrics" }) {
        if (pathsOverlap(path, reservedPath))
            return std::string("overlaps ") + reservedPath + ", which the node serves itself; write a different path";
    }
    return {};
}

static absl::Status validateServices(const std::vector<PlainService>& services)
{
    for (auto service = services.begin(); service != services.end(); ++service) {
        if (const std::string error = describePathError(service->path); !error.empty())
            return absl::InvalidArgumentError("service '" + service->name + "': path: " + error);
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
    double floorSum = 0;
    for (const PriorityClass& priority : configuration.priorities)
        floorSum += priority.floorShare;
    if (floorSum > 1.0)
        return absl::InvalidArgumentError("the floor_share values of all priorities add up to more than 1");
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
