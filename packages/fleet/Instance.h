#pragma once

#include "base/Clock.h"

#include <QByteArray>
#include <QJsonObject>
#include <absl/status/statusor.h>
#include <string>
#include <vector>

// Describes an instance: what the platform lists about it, and the status that it reports itself.

namespace hemlockweir {

// One row of the platform's instance list. The list lags behind the instances.
struct Instance {
    std::string id;
    std::string address; // ADDRESS:PORT of its HTTP interface
    std::string domain; // failure domain
    std::string fabric; // fabric domain
    std::string pool;
    bool leaving = false;

    auto operator<=>(const Instance&) const = default;
};

// The state of an engine.
enum class EngineState {
    Idle, // not in a group
    Loading, // in a group, loading weights
    Ready, // in a group, able to serve
    Broken, // in a group that lost a member
};

// The status that an instance reports.
struct InstanceStatus {
    std::string id;
    std::string incarnation; // changes whenever the instance restarts
    EngineState state = EngineState::Idle;
    std::string group; // empty when idle
    uint64_t epoch = 0; // fencing number of the order that formed the group
    std::string model;
    std::vector<std::string> members; // instance ids, leader first
    uint32_t running = 0;
    uint32_t waiting = 0;
    uint32_t slots = 0;
    bool leaving = false;
    double stepMs = 0; // ms, measured time per token in this member; 0: unknown

    // Returns whether both report the same group, epoch, model and member list.
    bool isInGroupOf(const InstanceStatus& other) const;

    auto operator<=>(const InstanceStatus&) const = default;
};

// The fields of a status that change frequently.
struct InstanceLoad {
    uint32_t running = 0;
    uint32_t waiting = 0;
    double stepMs = 0; // ms

    auto operator<=>(const InstanceLoad&) const = default;
};

// Returns whether two statuses are equal apart from their load.
bool equalsIgnoringLoad(const InstanceStatus& a, const InstanceStatus& b);

// Parses the platform's list: {"instances":[{"id","address","domain","fabric","pool","state"}]}.
absl::StatusOr<std::vector<Instance>> parseInstances(const QByteArray& json);

// Parses an instance's response to GET /status. An unknown state is read as Broken.
absl::StatusOr<InstanceStatus> parseInstanceStatus(const QByteArray& json);

// Formats a status as an instance's response to GET /status.
QJsonObject formatInstanceStatus(const InstanceStatus& status);

// Returns the name of a state as used in JSON and logs.
std::string stateName(EngineState state);

} // namespace hemlockweir
