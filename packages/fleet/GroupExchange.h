#pragma once

#include "fleet/FleetTable.h"
#include "fleet/TransitDelay.h"
#include "wire/Codec.h"

// Tells the other nodes which groups this node observes, and takes what they tell. Lives on the
// control thread.

namespace hemlockweir {

class GroupExchange {
public:
    struct Options {
        Clock clock;
        std::function<void(const Groups&)> broadcast; // to every living peer
        std::function<bool(const GroupCondition&)> shouldPublish; // whether it falls to this node
    };

    GroupExchange(Options options, FleetTable& table);

    // Sends the observed groups and the instances known to be draining.
    void publish();

    // Takes a peer's message, whatever its kind; others than Groups are ignored.
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
