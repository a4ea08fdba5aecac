#pragma once

#include <cstdint>
#include <string>
#include <vector>

// Orders that a planner sends to engines to form and dissolve replicas, and their results.

namespace hemlockweir {

enum class EngineOrderKind : uint8_t {
    Join, // become a member of a group and load its model into memory
    Open, // to the head: start serving
    Close, // to the head: stop serving, but keep the group
    Leave, // leave the group at once
    Stage, // copy a model onto the host without interrupting other work
};

// Returns the lower-case name of an order kind, e.g. "join".
std::string_view orderKindName(EngineOrderKind kind);

// One order to one engine. The epoch orders the groups that a service ever had: engines refuse an order whose
// epoch is lower than one they have seen.
struct EngineOrder {
    EngineOrderKind kind = EngineOrderKind::Join;
    std::string engine; // id
    std::string domain; // failure domain of the engine
    std::string address; // IP address
    uint16_t port = 0;
    std::string group;
    uint64_t epoch = 0;
    std::string model; // set for Join and Stage
    std::vector<std::string> members; // set for Join: engine ids by rank; the head has rank 0
    bool isAbrupt = false; // Close: cancel running requests
    uint64_t fencingToken = 0;

    bool operator==(const EngineOrder&) const = default;
};

enum class OrderResult : uint8_t {
    Begun, // accepted, still being carried out
    Done, // the requested state is reached
    Refused, // not possible in the engine's current state
    Fenced, // the engine has seen a newer order
    WrongEngine, // a different engine answers at the address
    Unknown, // no answer: the order may have been carried out, or may be later
    Unreachable, // no connection, so the order was not carried out
    Unsent, // not sent: this node may not give orders any more
};

// Returns the lower-case name of a result, e.g. "wrong_engine".
std::string_view orderResultName(OrderResult result);

} // namespace hemlockweir
