#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

// What other nodes say of the groups that they observe. Pure and without a lock of its own: the
// fleet table guards it.

namespace hemlockweir {

// One group as one observer saw it.
struct RemoteGroup {
    std::string observer; // node
    std::string group;
    uint64_t epoch = 0;
    std::string model;
    std::string domain;
    std::vector<std::string> members; // instance ids, leader first
    bool whole = false;
    uint32_t slots = 0;
    uint32_t running = 0;
    uint32_t waiting = 0;
    Millis reportedAt { 0 }; // this node's time of the oldest member report behind it

    auto operator<=>(const RemoteGroup&) const = default;
};

class RemoteGroups {
public:
    // Takes one row. A row that is older than what the same observer said before changes nothing.
    void apply(const RemoteGroup& row);

    // The groups that an observer saw whole no longer ago than `freshness`, the newest row of
    // each. A group with a member that anyone saw in a newer epoch is left out.
    std::vector<RemoteGroup> current(Millis now, Millis freshness) const;

    // Forgets what is too old to matter.
    void prune(Millis now);

    // Rows and member epochs held.
    size_t size() const;

private:
    struct MemberEpoch {
        uint64_t epoch = 0;
        Millis reportedAt { 0 };
    };

    bool isSuperseded(const RemoteGroup& row) const;

    std::map<std::string, std::map<std::string, RemoteGroup>> rows_; // by group, by observer
    std::map<std::string, MemberEpoch> epochs_; // newest, by member
};

} // namespace hemlockweir
