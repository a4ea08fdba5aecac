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

class HeardStatuses {
public:
    struct Options {
        Millis wantInterval { 1000 }; // ms, between two requests for whole tables at least
        Clock clock;
        std::function<void(const StatusesWanted&)> broadcast;
    };

    HeardStatuses(Options options, FleetTable& table);

    // Takes a message of an observer.
    void take(const Sender& sender, const Statuses& message);

    // Asks for the tables that are missing and forgets observers that fell silent. Call every 50 ms
    // or so.
    void tick();

private:
    struct Copy {
        uint64_t incarnation = 0;
        Millis heardAt { 0 };
        uint32_t version = 0;
        bool isCurrent = false; // no message is missing
        TransitDelay delay;
        std::map<std::string, InstanceStatus> statuses; // by instance; without load
    };

    Copy& copyOf(const Sender& sender);
    static bool follow(Copy& copy, const Statuses& message);
    void takeRow(Copy& copy, const StatusRow& row, Millis sentAt, bool isCounted);
    void takeLoads(const Copy& copy, const std::vector<LoadRow>& loads);

    Options options_;
    FleetTable& table_;
    std::map<std::string, Copy> copies_; // by observer
    Millis nextWantAt_ { 0 };
};

} // namespace hemlockweir
