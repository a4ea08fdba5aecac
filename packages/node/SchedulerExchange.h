#pragma once

#include "membership/PeerLink.h"
#include "report/Metrics.h"
#include "schedule/Scheduler.h"

// Publishes the slots and tokens that the local scheduler uses to the other nodes, and passes what
// they publish to the scheduler. Runs on the control thread.

namespace hemlockweir {

class SchedulerExchange {
public:
    SchedulerExchange(Scheduler& scheduler, PeerLink& peers, Metrics& metrics);

    // Broadcasts the local usage and updates the gauges of the queues. Call it once per heartbeat
    // interval.
    void publish();

    // Handles a peer's Usage message.
    void handle(const Envelope& envelope);

private:
    void setGauges();

    Scheduler& scheduler_;
    PeerLink& peers_;
    Metrics& metrics_;
};

// Returns the message for a node's usage. Keeps only the largest rows if not all fit.
Usage makeUsage(const NodeUse& use);

// Returns the usage that a message reports. Skips callers whose token count is not positive and finite.
NodeUse readUsage(const Usage& usage);

} // namespace hemlockweir
