#pragma once

#include "quarantine/Quarantine.h"
#include "wire/Codec.h"

// Exchanges suspects with the other nodes: broadcasts the local state and applies messages from
// peers. Without deaths and reservations it sends nothing, except in the first ticks after a change.
// Runs on the control thread.

namespace hemlockweir {

class SuspectExchange {
public:
    using Broadcast = std::function<void(const Suspects&)>;

    SuspectExchange(Quarantine& quarantine, Broadcast broadcast);

    // Broadcasts the local state; call it every heartbeat interval. Reserved groups are sent each
    // time, because peers let them lapse otherwise. Deaths are sent after a change, then rarely,
    // for nodes that missed them.
    void publish();

    // Applies a message from a peer. Kinds other than Suspects are ignored.
    void handle(const Envelope& envelope);

private:
    Quarantine& quarantine_;
    Broadcast broadcast_;
    std::vector<uint64_t> lastDeaths_;
    std::vector<std::string> lastGroups_;
    int unchangedTicks_ = 0;
};

} // namespace hemlockweir
