#pragma once

#include <cstdint>
#include <string>
#include <vector>

// Orders that form and dissolve replicas.

namespace hemlockweir {

enum class EngineOrderKind : uint8_t {
    Join, // become a member of a group, with its model in memory
    Open, // to a head: begin to serve
    Close, // to a head: serve no more, and keep the group
    Leave, // be a member no more, at once
    Stage, // load a model onto the host, beside all other work
};

std::string_view orderKindName(EngineOrderKind kind);

struct EngineOrder {
    EngineOrderKind kind = EngineOrderKind::Join;
    std::string engine; // id
    std::string address; // IP number
    uint16_t port = 0;
    std::string group;
    uint64_t epoch = 0;
    std::string model; // Join and Stage
    std::vector<std::string> members; // Join: ids, the head first
    bool isAbrupt = false; // Close: cut off what runs
    uint64_t fencingToken = 0;

    bool operator==(const EngineOrder&) const = default;
};

enum class OrderResult : uint8_t {
    Begun, // taken, and under way
    Done, // the state holds
    Refused, // does not fit the engine's state
    Fenced, // a newer order was seen
    WrongEngine, // another engine has the address
    Unknown, // no answer: it may have been taken, or may be later
    Unreachable, // no byte was sent
};

std::string_view orderResultName(OrderResult result);

} // namespace hemlockweir
