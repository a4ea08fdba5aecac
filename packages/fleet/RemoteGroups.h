#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

// Stores the groups that other nodes observe and publish. Pure and without a mutex of its own: the
// fleet table guards it.

namespace hemlockweir {

// One group as published by one observer.
struct RemoteGroup {
    std::string observer; // node name
    std::string group;
    uint64_t epoch = 0;
    std::string model;
    std::string domain;
    std::vector<std::string> members; // instance ids, leader first
    bool whole = false;
    uint32_t slots = 0;
    uint32_t running = 0;
    uint32_t waiting = 0;
    Millis reportedAt { 0 }; // this node's clock; when the oldest member report behind the row was polled

    auto operator<=>(const RemoteGroup&) const = default;
};

class RemoteGroups {
public:
    // Records the epoch of the row for its members. Stores the row itself unless a newer one of the
    // same group and observer is stored.
    void apply(const RemoteGroup& row);

    // Returns the groups that an observer saw whole within `freshness`, with the newest row of
    // each. A group is omitted if any observer saw one of its members in a newer epoch.
    std::vector<RemoteGroup> current(Millis now, Millis freshness) const;

    // Removes expired rows and epochs.
    void prune(Millis now);

    // Returns the number of stored rows and member epochs.
    size_t size() const;

private:
    struct MemberEpoch {
        uint64_t epoch = 0;
        Millis reportedAt { 0 };
    };

    bool isSuperseded(const RemoteGroup& row) const;

    std::map<std::string, std::map<std::string, RemoteGroup>> rows_; // by group, by observer
    std::map<std::string, MemberEpoch> epochs_; // highest epoch, by member
};

} // namespace hemlockweir
