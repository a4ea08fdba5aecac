#pragma once

#include "quarantine/Quarantine.h"
#include "wire/Codec.h"

// Tells the other nodes of suspects, and takes what they tell. Silent while there is nothing to
// tell. Lives on the control thread.

namespace hemlockweir {

class SuspectExchange {
public:
    using Broadcast = std::function<void(const Suspects&)>;

    SuspectExchange(Quarantine& quarantine, Broadcast broadcast);

    // Sends what this node saw; call every heartbeat interval. Deaths that are known are repeated
    // seldom, for nodes that missed them; groups in use are named each time.
    void publish();

    // Takes a peer's message, whatever its kind; others than Suspects are ignored.
    void handle(const Envelope& envelope);

private:
    Quarantine& quarantine_;
    Broadcast broadcast_;
    std::vector<uint64_t> lastDeaths_;
    std::vector<std::string> lastGroups_;
    int unchangedTicks_ = 0;
};

} // namespace hemlockweir
