#pragma once

#include "fleet/FleetTable.h"
#include "fleet/TransitDelay.h"
#include "wire/Codec.h"
#include "wire/InstanceMessages.h"

// The receiving side of sharing polls of instances within a failure domain. Keeps a copy of each
// observer's table and applies it to the fleet table: what the instances reported and when they
// were polled. Pure: the clock and the sending are hooks.
//
// A copy that missed a message is no longer current, and confirmations are ignored until the
// observer has sent its full table again. Statuses that were already applied age as usual.

namespace hemlockweir {

class StatusReceiver {
public:
    struct Options {
        Millis requestInterval { 1000 }; // ms, minimum time between two requests for full tables
        Clock clock;
        std::function<void(const StatusesRequest&)> broadcast;
    };

    StatusReceiver(Options options, FleetTable& table);

    // Handles a message of an observer.
    void handle(const Sender& sender, const Statuses& message);

    // Requests missing tables and drops the copies of observers that stopped sending. Call it about
    // every 50 ms.
    void tick();

private:
    struct Copy {
        uint64_t incarnation = 0;
        Millis receivedAt { 0 };
        uint32_t version = 0;
        bool isCurrent = false; // no message was missed
        TransitDelay delay;
        std::map<std::string, InstanceStatus> statuses; // by instance; the loads are not used
    };

    Copy& copyOf(const Sender& sender);
    static bool advance(Copy& copy, const Statuses& message);
    void applyRow(Copy& copy, const StatusRow& row, Millis sentAt, bool isAgeKnown);
    void applyLoads(const Copy& copy, const std::vector<LoadRow>& loads);

    Options options_;
    FleetTable& table_;
    std::map<std::string, Copy> copies_; // by observer
    Millis nextRequestAt_ { 0 };
};

} // namespace hemlockweir
