#pragma once

#include "membership/PeerLink.h"
#include "report/Metrics.h"
#include "schedule/Scheduler.h"

// Carries what the scheduler uses to the other nodes, and theirs to the scheduler. Lives on the
// control thread.

namespace hemlockweir {

class SchedulerExchange {
public:
    SchedulerExchange(Scheduler& scheduler, PeerLink& peers, Metrics& metrics);

    // Tells the peers, and sets the queues' gauges. Call once in a heartbeat interval.
    void publish();

    // Takes a peer's Usage message.
    void handle(const Envelope& envelope);

private:
    void setGauges();

    Scheduler& scheduler_;
    PeerLink& peers_;
    Metrics& metrics_;
};

// The message for a node's use, cut to the rows that fit.
Usage makeUsage(const NodeUse& use);

// The use that a message tells of.
NodeUse readUsage(const Usage& usage);

} // namespace hemlockweir
