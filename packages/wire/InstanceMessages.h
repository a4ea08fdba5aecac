#pragma once

#include "wire/Messages.h"

// The messages by which nodes of one failure domain tell each other what instances report. They are
// not relayed to other failure domains.

namespace hemlockweir {

inline constexpr uint32_t maxLatePerMessage = 1024;

// What an observer has to say of an instance.
enum class StatusChange : uint8_t {
    Reported = 0, // it reports what the row holds
    Unreachable = 1, // it refused a connection, or lost it before it answered
    Withdrawn = 2, // the sender observes it no more
};

// What one instance reported, without its load.
struct StatusRow {
    StatusChange change = StatusChange::Reported;
    std::string id;
    uint32_t ageMs = 0; // ms since the observer asked
    // Only of Reported:
    std::string incarnation;
    uint8_t state = 0; // an EngineState
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
    uint16_t index = 0; // of the instance among those that the sender vouches for, by id
    uint16_t running = 0;
    uint16_t waiting = 0;
    uint16_t stepTenthsMs = 0; // 0.1 ms, time of one token

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(index, running, waiting, stepTenthsMs);
    }
    auto operator<=>(const LoadRow&) const = default;
};

// Says which instances the sender looks at and what they report. Each message with rows raises the
// version by one; one without rows vouches for all that the rows up to this version have said.
struct Statuses {
    static constexpr MessageKind kind = MessageKind::Statuses;
    uint64_t sentAtMs = 0; // ms, the sender's monotonic clock
    uint32_t version = 0; // of the sender's table, with these rows
    bool resetsTable = false; // all rows of before are void
    uint16_t ageMs = 0; // ms, age of the oldest report vouched for
    std::vector<StatusRow> rows;
    std::vector<uint16_t> late; // places of instances that have not answered in time: not vouched for
    std::vector<LoadRow> loads;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(sentAtMs, version, resetsTable, ageMs, bounded(rows, maxRowsPerMessage), bounded(late, maxLatePerMessage), bounded(loads, maxRowsPerMessage));
    }
    auto operator<=>(const Statuses&) const = default;
};

// Asks observers for their whole tables.
struct StatusesWanted {
    static constexpr MessageKind kind = MessageKind::StatusesWanted;
    std::vector<std::string> observers; // names of nodes

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(boundedNames(observers, maxRowsPerMessage, maxNameLength));
    }
    auto operator<=>(const StatusesWanted&) const = default;
};

} // namespace hemlockweir
