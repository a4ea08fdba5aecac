#pragma once

#include "proxy/EndpointClock.h"
#include "proxy/EndpointInfo.h"

namespace hemlockweir {

// A decoded entry of the list. The number is not part of EndpointInfo, because it may change when nothing else does.
struct EndpointEntry {
    EndpointInfo info;
    std::optional<uint64_t> sequence; // of this entry among those of the endpoint's process; absent: unknown
    std::string unreadableColdTime; // what the entry says of the cold time, if that makes no sense

    StatementTime time() const { return { .startedAtMs = info.startedAtMs, .sequence = sequence }; }
    bool operator==(const EndpointEntry&) const = default;
};

} // namespace hemlockweir
