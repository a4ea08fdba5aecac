#pragma once

#include "membership/PeerLink.h"
#include "node/CallerSums.h"
#include "report/Metrics.h"
#include "schedule/Scheduler.h"

// Carries what the scheduler uses to the other nodes, and theirs to the scheduler. Lives on the
// control thread.

namespace hemlockweir {

class UsageShare {
public:
    struct Options {
        std::string domain; // of this node
        Clock clock;
    };

    UsageShare(Options options, Scheduler& scheduler, PeerLink& peers, Metrics& metrics);

    // Tells the peers, as often as the budget of broadcasts allows.
    void share();

    // Keeps the sums of other domains in the scheduler, and sets the queues' gauges. Call once in a
    // heartbeat interval.
    void refresh();

    // Takes a peer's message, whatever its kind; others than Usage and DomainUse are ignored.
    void take(const Envelope& envelope);

    // Forgets what a silent peer used.
    void dropPeer(const std::string& node);

private:
    void takeUsage(const Envelope& envelope);
    void setGauges();

    Options options_;

    Scheduler& scheduler_;
    PeerLink& peers_;
    Metrics& metrics_;
    CallerSums sums_;
};

// The message for a node's use, cut to the rows that fit.
Usage makeUsage(const NodeUse& use);

// The use that a message tells of.
NodeUse readUsage(const Usage& usage);

} // namespace hemlockweir
