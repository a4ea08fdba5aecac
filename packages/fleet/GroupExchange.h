#pragma once

#include "fleet/FleetTable.h"
#include "fleet/TransitDelay.h"
#include "wire/Codec.h"

// Publishes the groups that this node observes to the other nodes, and applies the groups that they
// publish. Lives on the control thread.

namespace hemlockweir {

class GroupExchange {
public:
    struct Options {
        Clock clock;
        std::function<void(const Groups&)> broadcast; // to every live peer
        std::function<bool(const GroupCondition&)> shouldPublish; // whether this node publishes the group
    };

    GroupExchange(Options options, FleetTable& table);

    // Sends the observed groups and the instances that operators drain according to this node's own
    // read.
    void publish();

    // Handles a peer's Groups message. Ignores other kinds of messages.
    void handle(const Envelope& envelope);

private:
    struct PeerDelay {
        uint64_t incarnation = 0;
        TransitDelay delay;
    };

    GroupRow makeRow(const GroupCondition& group, Millis now) const;
    void flush(Groups& message) const;

    Options options_;
    FleetTable& table_;
    std::map<std::string, PeerDelay> delays_; // by node
};

} // namespace hemlockweir
