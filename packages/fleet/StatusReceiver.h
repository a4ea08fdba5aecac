#pragma once

#include "fleet/FleetTable.h"
#include "fleet/TransitDelay.h"
#include "wire/Codec.h"
#include "wire/InstanceMessages.h"

// The receiver's side of sharing looks at instances within a failure domain: keeps a copy of each
// observer's table, and gives the fleet table what the instances reported and when they were asked.
// Pure: the clock is a hook.
//
// A copy that missed a message vouches for nothing until the observer has sent its table anew; the
// reports heard so far grow old like any others.

namespace hemlockweir {

class StatusReceiver {
public:
    struct Options {
        Millis requestInterval { 1000 }; // ms, between two requests for whole tables at least
        Clock clock;
        std::function<void(const StatusesWanted&)> broadcast;
    };

    StatusReceiver(Options options, FleetTable& table);

    // Takes a message of an observer.
    void handle(const Sender& sender, const Statuses& message);

    // Asks for the tables that are missing and forgets observers that fell silent. Call every 50 ms
    // or so.
    void tick();

private:
    struct Copy {
        uint64_t incarnation = 0;
        Millis receivedAt { 0 };
        uint32_t version = 0;
        bool isCurrent = false; // no message is missing
        TransitDelay delay;
        std::map<std::string, InstanceStatus> statuses; // by instance; without load
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
