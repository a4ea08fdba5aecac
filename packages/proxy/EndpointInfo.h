#pragma once

#include "base/Clock.h"

#include <optional>
#include <string>
#include <vector>

// What an endpoint says of itself in the platform's list.

namespace hemlockweir {

// Where an engine stands in its replica.
enum class MemberState : uint8_t {
    Joining,
    Ready,
    Open, // the head serves requests
    Closing,
    Broken,
    Unknown, // a state of a later protocol
};

// The replica that an engine belongs to.
struct Membership {
    std::string group;
    uint64_t epoch = 0;
    size_t rank = 0; // 0: the head, which takes the requests
    MemberState state = MemberState::Unknown;

    bool operator==(const Membership&) const = default;
};

struct EndpointInfo {
    std::string id;
    std::string service;
    std::string address; // IP number
    uint16_t port = 0;
    std::string domain; // failure domain
    std::string fabric; // fabric domain; engines only
    uint32_t slots = 1; // requests at a time
    uint64_t orders = 0; // orders taken since its start
    int64_t startedAtMs = 0; // ms since the epoch, its start
    bool isLeaving = false;
    std::string model; // that the engine has in memory; empty: none
    std::vector<std::string> staged; // models that its host keeps
    std::optional<Membership> membership;

    bool operator==(const EndpointInfo&) const = default;
};

} // namespace hemlockweir
