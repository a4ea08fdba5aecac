#pragma once

#include "wire/Bounded.h"

#include <compare>

// The messages that nodes exchange. Each fits one datagram unless its header says that it is sent
// over TCP. Senders split larger tables into several messages.

namespace hemlockweir {

// Limits of the fields below. maxDatagramBytes in Codec.h limits the whole message.
inline constexpr uint32_t maxNameLength = 96; // bytes; names of nodes, groups, models, callers
inline constexpr uint32_t maxEndpointLength = 64; // bytes; ADDRESS:PORT
inline constexpr uint32_t maxRowsPerMessage = 64; // rows of a table in one datagram
inline constexpr uint32_t maxGroupMembers = 64;

// The type of the message in an envelope. Values are part of the wire format and never reused.
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

// Returns whether relays forward a message to the other failure domains. They do not forward
// messages to a single node or failure domain, messages that relays create themselves, or the
// counters of the report, which reach other failure domains through the platform.
constexpr bool isRelayed(MessageKind kind)
{
    return kind != MessageKind::Heartbeat && kind != MessageKind::Nodes && kind != MessageKind::Counters && kind < MessageKind::ConfigRequest;
}

// Announces that a node is running, with its addresses and state.
struct Heartbeat {
    static constexpr MessageKind kind = MessageKind::Heartbeat;
    std::string domain;
    std::string region;
    std::string callerEndpoint; // ADDRESS:PORT that callers and operators connect to
    std::string peerEndpoint; // ADDRESS:PORT that other nodes send to
    int64_t configRevision = 0; // of the newest configuration that the node has
    bool leaving = false; // shutting down as planned
    bool platformDown = false; // this node cannot reach the platform

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(bounded(domain, maxNameLength), bounded(region, maxNameLength), bounded(callerEndpoint, maxEndpointLength),
            bounded(peerEndpoint, maxEndpointLength), configRevision, leaving, platformDown);
    }
    auto operator<=>(const Heartbeat&) const = default;
};

// The state of one group, as reported by its observer.
struct GroupRow {
    std::string group;
    uint64_t epoch = 0;
    std::string model;
    std::string domain;
    std::vector<std::string> members; // instance ids, leader first; receivers have the addresses already
    bool whole = false; // every member reported this group and epoch
    uint32_t running = 0; // requests in the engine
    uint32_t waiting = 0; // requests queued in the engine
    uint32_t slots = 0; // requests that the engine can run concurrently
    uint32_t ageMs = 0; // ms, age of the oldest member report used for this row, at the time of sending

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(bounded(group, maxNameLength), epoch, bounded(model, maxNameLength), bounded(domain, maxNameLength),
            boundedNames(members, maxGroupMembers, maxNameLength), whole, running, waiting, slots, ageMs);
    }
    auto operator<=>(const GroupRow&) const = default;
};

// Reports the groups that the sender observes, and the instances that it knows operators are draining.
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

// Number of requests that the sender has in flight on one group.
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

// Tokens that the sender recently granted to one caller for one model and priority.
struct CallerUsage {
    std::string model;
    uint32_t rank = 0; // rank of the priority
    std::string caller;
    float tokens = 0; // exponentially decaying sum

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(bounded(model, maxNameLength), rank, bounded(caller, maxNameLength), tokens);
    }
    auto operator<=>(const CallerUsage&) const = default;
};

// Reports the sender's usage by group and by caller. Receivers treat missing rows as zero. If the
// rows do not all fit, the sender omits the smallest.
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
