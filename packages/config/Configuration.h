#pragma once

#include <QByteArray>
#include <absl/status/statusor.h>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

// The published configuration, built from the service files of all services. It is stored as one
// JSON document under one key of the platform and distributed to all nodes.

namespace hemlockweir {

// One priority class. Classes with a lower rank are served first.
struct PriorityClass {
    std::string name; // value of the X-Priority header
    uint32_t rank = 0; // 0 is the most urgent
    uint32_t firstTokenMs = 310; // ms, target time to the first token
    uint32_t deadlineMs = 10000; // ms, maximum wait for the first token before the request is refused
    double floorShare = 0.0; // 0..1, fraction of the slots reserved for this class under overload

    auto operator<=>(const PriorityClass&) const = default;
};

// One caller and its weight in fair scheduling.
struct Caller {
    std::string name;
    std::string keySha256; // lower-case hexadecimal SHA-256 of the caller's key
    double weight = 1.0;
    std::string defaultPriority; // priority class of requests without X-Priority

    auto operator<=>(const Caller&) const = default;
};

// One model and the size and number of its replicas.
struct Model {
    std::string name;
    std::string pool; // pool of the instances that can serve it
    uint32_t members = 1; // instances in one replica, all in one fabric domain
    uint32_t replicas = 1; // required replicas in each failure domain; 0: as many as fit

    auto operator<=>(const Model&) const = default;
};

// One plain HTTP service, which is not a model. Requests are routed to it by path.
struct PlainService {
    std::string name;
    std::string pool; // pool of the instances that serve it
    std::string path; // prefix of the request path, such as /orders
    bool idempotent = false; // whether its POST requests may be sent again

    auto operator<=>(const PlainService&) const = default;
};

// A whole published configuration. It is in force on all nodes.
struct Configuration {
    std::string publication; // unique id of the publication
    std::string author; // author given to hemlockctl; may be empty
    int64_t publishedAtMs = 0; // wall time of the publication, ms since the epoch
    std::vector<std::string> formerPublications; // ids of the previous publications, newest first
    std::vector<PriorityClass> priorities;
    std::vector<Caller> callers;
    std::vector<Model> models;
    std::vector<PlainService> services;

    auto operator<=>(const Configuration&) const = default;

    // Return the matching entry, or null if there is none. The pointer is valid as long as the
    // configuration is not changed. findService() matches a path and everything below it.
    const Caller* findCallerByKey(const std::string& keySha256) const;
    const Caller* findCaller(const std::string& name) const;
    const PriorityClass* findPriority(const std::string& name) const;
    const Model* findModel(const std::string& name) const;
    const PlainService* findService(const std::string& path) const;
};

// Limits of the fields, both in service files and in the published document.
inline constexpr uint32_t maxRank = 9;
inline constexpr uint32_t maxFirstTokenMs = 3600000; // ms
inline constexpr uint32_t maxDeadlineMs = 86400000; // ms
inline constexpr double minWeight = 0.001;
inline constexpr double maxWeight = 1000000.0;
inline constexpr uint32_t maxMembers = 64; // instances in one replica
inline constexpr uint32_t maxReplicas = 10000; // in each failure domain

// Key of the configuration in the platform's key-value service.
inline constexpr char configurationKey[] = "/hemlockweir/configuration";

// Maximum size of a configuration, in bytes of JSON; the platform's key-value service stores no
// larger value.
inline constexpr qsizetype maxConfigurationBytes = 1000 * 1000;

// Maximum number of previous publications that a configuration lists.
inline constexpr size_t maxFormerPublications = 32;

// Serializes a configuration as JSON.
QByteArray formatConfiguration(const Configuration& configuration);

// Parses and validates a configuration. On an error, returns InvalidArgument, which names the field.
absl::StatusOr<Configuration> parseConfiguration(const QByteArray& json);

// Checks rules across fields: duplicate names, references to unknown priorities, overlapping paths,
// and reserved fractions whose sum exceeds 1.
absl::Status validateConfiguration(const Configuration& configuration);

// Returns an error message if the path of a service is malformed or overlaps a path that the node
// serves itself, otherwise an empty string.
std::string describePathError(const std::string& path);

// Returns whether the paths are equal or one contains the other.
bool pathsOverlap(const std::string& a, const std::string& b);

// Returns the SHA-256 of a caller's key as lower-case hexadecimal digits.
std::string hashCallerKey(const QByteArray& key);

} // namespace hemlockweir
