#pragma once

#include "wire/Messages.h"

// Messages in which the nodes of one failure domain share the results of their polls of instances.
// They are not relayed to other failure domains.

namespace hemlockweir {

inline constexpr uint32_t maxLatePerMessage = 1024;

// The kind of change that a StatusRow reports.
enum class StatusChange : uint8_t {
    Reported = 0, // the instance reported the status in the row
    Unreachable = 1, // the instance refused a connection, or closed it before it responded
    Withdrawn = 2, // the sender no longer observes the instance
};

// The status of one instance, without its load.
struct StatusRow {
    StatusChange change = StatusChange::Reported;
    std::string id;
    uint32_t ageMs = 0; // ms since the observer sent the poll
    // Only sent with Reported:
    std::string incarnation;
    uint8_t state = 0; // numeric value of EngineState
    std::string group;
    uint64_t epoch = 0;
    std::string model;
    std::vector<std::string> members;
    uint32_t slots = 0;
    bool leaving = false;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(change, bounded(id, maxNameLength), ageMs);
        if (change == StatusChange::Reported) {
            archive(bounded(incarnation, maxNameLength), state, bounded(group, maxNameLength), epoch, bounded(model, maxNameLength),
                boundedNames(members, maxGroupMembers, maxNameLength), slots, leaving);
        }
    }
    auto operator<=>(const StatusRow&) const = default;
};

// The load of one instance.
struct LoadRow {
    uint16_t index = 0; // position of the instance in the sender's table, sorted by id
    uint16_t running = 0;
    uint16_t waiting = 0;
    uint16_t stepTenthsMs = 0; // unit 0.1 ms, time per token

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(index, running, waiting, stepTenthsMs);
    }
    auto operator<=>(const LoadRow&) const = default;
};

// Publishes the sender's table: the instances that it observes and their statuses. Each message
// with rows increments the version. A message without rows confirms all statuses up to this
// version, except those of late instances.
struct Statuses {
    static constexpr MessageKind kind = MessageKind::Statuses;
    uint64_t sentAtMs = 0; // ms, the sender's monotonic clock
    uint32_t version = 0; // version of the sender's table, including these rows
    bool resetsTable = false; // receivers discard all earlier rows
    uint16_t ageMs = 0; // ms, age of the oldest poll among the confirmed statuses
    std::vector<StatusRow> rows;
    std::vector<uint16_t> late; // indices of instances that have not responded in time; their statuses are not confirmed
    std::vector<LoadRow> loads;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(sentAtMs, version, resetsTable, ageMs, bounded(rows, maxRowsPerMessage), bounded(late, maxLatePerMessage), bounded(loads, maxRowsPerMessage));
    }
    auto operator<=>(const Statuses&) const = default;
};

// Requests the full tables of observers.
struct StatusesRequest {
    static constexpr MessageKind kind = MessageKind::StatusesRequest;
    std::vector<std::string> observers; // node names

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(boundedNames(observers, maxRowsPerMessage, maxNameLength));
    }
    auto operator<=>(const StatusesRequest&) const = default;
};

} // namespace hemlockweir
