#pragma once

#include "base/Clock.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

// The entry of an endpoint in the platform's list, as the endpoint reported it, and what the operators decided about it.

namespace hemlockweir {

// State of an engine within its replica.
enum class MemberState : uint8_t {
    Joining,
    Ready,
    Open, // serving; the head accepts requests
    Closing,
    Broken,
    Unknown, // a state added by a later protocol version
};

// The replica that an engine belongs to.
struct Membership {
    std::string group;
    uint64_t epoch = 0;
    size_t rank = 0; // 0: the head, which accepts the requests
    MemberState state = MemberState::Unknown;

    bool operator==(const Membership&) const = default;
};

struct EndpointInfo {
    std::string id;
    std::string service;
    std::string address; // IP address
    uint16_t port = 0;
    std::string domain; // failure domain
    std::string fabric; // fabric domain; engines only
    uint32_t slots = 1; // concurrent requests
    int64_t startedAtMs = 0; // ms since the Unix epoch
    bool isLeaving = false; // shutting down: gets no new requests
    bool isEvacuated = false; // its failure domain is evacuated: nothing is sent to it. Set by EndpointFollower, not by the entry
    std::string model; // model loaded in the engine; empty: none
    std::vector<std::string> staged; // models cached on the engine's host
    std::optional<Membership> membership; // absent if the engine is in no replica

    // Cold time of an endpoint that started during traffic and says nothing readable of it: as long as it may be at most.
    static constexpr Millis longestColdTime = Millis::max();

    std::optional<Millis> coldTime; // ms for which it was still cold when the entry was written; absent: unknown
    Millis coldReadAt { 0 }; // when that entry was read; 0 unless it was cold

    // Returns the time at which the endpoint has ceased to be cold, if it is cold for `longest` ms at most; 0 if it was not cold.
    Millis coldUntil(Millis longest) const { return coldTime > Millis(0) && longest > Millis(0) ? coldReadAt + std::min(*coldTime, longest) : Millis(0); }

    bool operator==(const EndpointInfo&) const = default;
};

} // namespace hemlockweir
