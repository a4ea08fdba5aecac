#pragma once

#include "base/Clock.h"

#include <QByteArray>
#include <QJsonObject>
#include <absl/status/statusor.h>
#include <string>
#include <vector>

// What is known of the instances behind the nodes: what the platform lists, and what each
// instance says of itself.

namespace hemlockweir {

// One row of the platform's list, which lags.
struct Instance {
    std::string id;
    std::string address; // ADDRESS:PORT of its HTTP interface
    std::string domain; // failure domain
    std::string fabric; // fabric domain
    std::string pool;
    bool leaving = false;

    auto operator<=>(const Instance&) const = default;
};

// What an engine is doing.
enum class EngineState {
    Idle, // in no group
    Loading, // in a group, reading weights
    Ready, // in a group, able to serve
    Broken, // in a group that lost a member
};

// One instance's own report.
struct InstanceStatus {
    std::string id;
    std::string incarnation; // changes with each start of the instance
    EngineState state = EngineState::Idle;
    std::string group; // empty when idle
    uint64_t epoch = 0; // fencing number of the order that made the group
    std::string model;
    std::vector<std::string> members; // instance ids, leader first
    uint32_t running = 0;
    uint32_t waiting = 0;
    uint32_t slots = 0;
    bool leaving = false;
    double stepMs = 0; // ms, measured time of one token in this member; 0: not known

    // Whether both report the same group, epoch, model and member list.
    bool isInGroupOf(const InstanceStatus& other) const;

    auto operator<=>(const InstanceStatus&) const = default;
};

// What of a status changes all the time.
struct InstanceLoad {
    uint32_t running = 0;
    uint32_t waiting = 0;
    double stepMs = 0; // ms

    auto operator<=>(const InstanceLoad&) const = default;
};

// Whether two statuses say the same, whatever their load.
bool equalsIgnoringLoad(const InstanceStatus& a, const InstanceStatus& b);

// Reads the platform's list: {"instances":[{"id","address","domain","fabric","pool","state"}]}.
absl::StatusOr<std::vector<Instance>> parseInstances(const QByteArray& json);

// Reads an instance's answer to GET /status.
absl::StatusOr<InstanceStatus> parseInstanceStatus(const QByteArray& json);

// Writes a status as an instance answers it.
QJsonObject formatInstanceStatus(const InstanceStatus& status);

// Returns the name of a state as it stands in JSON and logs.
std::string stateName(EngineState state);

} // namespace hemlockweir
