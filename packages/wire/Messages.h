#pragma once

#include "wire/Bounded.h"

#include <compare>

// The messages between nodes. Each fits one datagram unless it says otherwise; tables are cut
// into several messages by their senders.

namespace hemlockweir {

// Limits of the fields below; see also maxDatagramBytes in Codec.h.
inline constexpr uint32_t maxNameLength = 96; // names of nodes, groups, models, callers
inline constexpr uint32_t maxEndpointLength = 64; // ADDRESS:PORT
inline constexpr uint32_t maxRowsPerMessage = 64; // rows of a table in one datagram
inline constexpr uint32_t maxGroupMembers = 64;

// Which message a body holds; part of the envelope. Values are never reused.
enum class MessageKind : uint8_t {
    Heartbeat = 1,
    Nodes = 2,
    Groups = 3,
    Usage = 4,
    Suspects = 5,
    Counters = 6,
    ConfigRequest = 16,
    ConfigDocument = 17,
    Digest = 18,
    Challenge = 19,
    ChallengeAnswer = 20,
    RecordsRequest = 21,
    Relayed = 22,
    Statuses = 32,
    StatusesRequest = 33,
    HomeClaim = 40,
    HomeOutcome = 41,
    HomeAnswer = 42,
    ClaimBatch = 43,
    ClaimBatchAnswer = 44,
};

// Whether relays pass a message on to the other failure domains. Those that concern two nodes or
// that relays make themselves are not, and figures of the report reach the platform instead.
constexpr bool isRelayed(MessageKind kind)
{
    return kind != MessageKind::Heartbeat && kind != MessageKind::Nodes && kind != MessageKind::Counters && kind < MessageKind::ConfigRequest;
}

// Says that a node runs, and what it has.
struct Heartbeat {
    static constexpr MessageKind kind = MessageKind::Heartbeat;
    std::string domain;
    std::string region;
    std::string callerEndpoint; // ADDRESS:PORT for callers and operators
    std::string peerEndpoint; // ADDRESS:PORT for nodes
    int64_t configRevision = 0; // newest configuration held
    bool leaving = false; // in a planned stop
    bool platformDown = false; // the platform can not be reached from here

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(bounded(domain, maxNameLength), bounded(region, maxNameLength), bounded(callerEndpoint, maxEndpointLength),
            bounded(peerEndpoint, maxEndpointLength), configRevision, leaving, platformDown);
    }
    auto operator<=>(const Heartbeat&) const = default;
};

// One group as its observer sees it.
struct GroupRow {
    std::string group;
    uint64_t epoch = 0;
    std::string model;
    std::string domain;
    std::vector<std::string> members; // instance ids, leader first; receivers know the addresses
    bool whole = false; // every member agreed on this group and epoch
    uint32_t running = 0; // requests in the engine
    uint32_t waiting = 0; // requests queued in the engine
    uint32_t slots = 0; // requests the engine runs at once
    uint32_t ageMs = 0; // ms, age of the oldest member report behind this row when it was sent

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(bounded(group, maxNameLength), epoch, bounded(model, maxNameLength), bounded(domain, maxNameLength),
            boundedNames(members, maxGroupMembers, maxNameLength), whole, running, waiting, slots, ageMs);
    }
    auto operator<=>(const GroupRow&) const = default;
};

// Groups that the sender observes, and the instances that it knows operators drain.
struct Groups {
    static constexpr MessageKind kind = MessageKind::Groups;
    uint64_t sentAtMs = 0; // ms, the sender's monotonic clock
    std::vector<GroupRow> rows;
    std::vector<std::string> draining; // instance ids

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(bounded(rows, maxRowsPerMessage), boundedNames(draining, maxRowsPerMessage, maxNameLength), sentAtMs);
    }
    auto operator<=>(const Groups&) const = default;
};

// Requests that the sender has in flight on one group.
struct GroupUsage {
    std::string group;
    uint32_t inFlight = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(bounded(group, maxNameLength), inFlight);
    }
    auto operator<=>(const GroupUsage&) const = default;
};

// Tokens that the sender lately granted to one caller for one model and priority.
struct CallerUsage {
    std::string model;
    uint32_t rank = 0; // of the priority
    std::string caller;
    float tokens = 0; // fading sum

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(bounded(model, maxNameLength), rank, bounded(caller, maxNameLength), tokens);
    }
    auto operator<=>(const CallerUsage&) const = default;
};

// The sender's use of groups and by callers. Rows that are missing are zero: a sender that has more
// than fit leaves out the smallest.
struct Usage {
    static constexpr MessageKind kind = MessageKind::Usage;
    std::vector<GroupUsage> groups;
    std::vector<CallerUsage> callers;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(bounded(groups, maxRowsPerMessage), bounded(callers, maxRowsPerMessage));
    }
    auto operator<=>(const Usage&) const = default;
};

} // namespace hemlockweir
