#pragma once

#include <QByteArray>
#include <absl/status/statusor.h>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

// The published configuration: what the service files of all services add up to. It travels as
// one JSON document under one key of the platform.

namespace hemlockweir {

// One level of urgency. Lower rank is served first.
struct PriorityClass {
    std::string name; // as callers send it in X-Priority
    uint32_t rank = 0; // 0 is the most urgent
    uint32_t firstTokenMs = 310; // ms, target for the first token
    uint32_t deadlineMs = 10000; // ms, longest wait for the first token before a refusal
    double floorShare = 0.0; // 0..1, share of the slots kept for this class under floods

    auto operator<=>(const PriorityClass&) const = default;
};

// One caller and its weight in fair sharing.
struct Caller {
    std::string name;
    std::string keySha256; // lower-case hexadecimal SHA-256 of the caller's key
    double weight = 1.0;
    std::string defaultPriority; // priority class used when the request names none

    auto operator<=>(const Caller&) const = default;
};

// One model and how its replicas are formed.
struct Model {
    std::string name;
    std::string pool; // pool of the instances that may serve it
    uint32_t members = 1; // instances in one replica, all in one fabric domain
    uint32_t replicas = 1; // wanted replicas in each failure domain; 0: as many as fit

    auto operator<=>(const Model&) const = default;
};

// One plain service beside the models, reached under its path.
struct PlainService {
    std::string name;
    std::string pool; // pool of the instances that serve it
    std::string path; // prefix of the request path, such as /orders
    bool idempotent = false; // whether its POSTs may be repeated

    auto operator<=>(const PlainService&) const = default;
};

// What is in force everywhere.
struct Configuration {
    std::string publication; // unique id of the publish that wrote it
    std::string author; // who published it, as given to hemlockctl; may be empty
    int64_t publishedAtMs = 0; // wall time of the publish, ms since the epoch
    std::vector<std::string> formerPublications; // ids of the publishes before it, newest first
    std::vector<PriorityClass> priorities;
    std::vector<Caller> callers;
    std::vector<Model> models;
    std::vector<PlainService> services;

    auto operator<=>(const Configuration&) const = default;

    // Look-ups; null when unknown.
    const Caller* findCallerByKey(const std::string& keySha256) const;
    const Caller* findCaller(const std::string& name) const;
    const PriorityClass* findPriority(const std::string& name) const;
    const Model* findModel(const std::string& name) const;
    const PlainService* findService(const std::string& path) const;
};

// Ranges of the fields, in service files and in the published document alike.
inline constexpr uint32_t maxRank = 9;
inline constexpr uint32_t maxFirstTokenMs = 3600000; // ms
inline constexpr uint32_t maxDeadlineMs = 86400000; // ms
inline constexpr double minWeight = 0.001;
inline constexpr double maxWeight = 1000000.0;
inline constexpr uint32_t maxMembers = 64; // instances in one replica
inline constexpr uint32_t maxReplicas = 10000; // in each failure domain

// The platform's key of the configuration.
inline constexpr char configurationKey[] = "/hemlockweir/configuration";

// The largest configuration that the platform's service holds.
inline constexpr qsizetype maxConfigurationBytes = 1000 * 1000;

// Former publications that a configuration names.
inline constexpr size_t maxFormerPublications = 32;

// Writes a configuration as JSON.
QByteArray formatConfiguration(const Configuration& configuration);

// Reads a configuration; InvalidArgument names the field.
absl::StatusOr<Configuration> parseConfiguration(const QByteArray& json);

// Checks what single fields can not show: duplicate names, unknown references, shares over one.
absl::Status validateConfiguration(const Configuration& configuration);

// Says what is wrong with the path of a service: not a path, or one that the node answers itself.
// Empty when nothing is.
std::string describePathError(const std::string& path);

// Whether requests under one path would reach the other.
bool pathsOverlap(const std::string& a, const std::string& b);

// Returns the SHA-256 of a caller's key as lower-case hexadecimal digits.
std::string hashCallerKey(const QByteArray& key);

} // namespace hemlockweir
