#pragma once

#include "fleet/Instance.h"
#include "wire/InstanceMessages.h"

#include <functional>
#include <map>
#include <optional>
#include <set>

// The observer's side of sharing looks at instances within a failure domain: tells the other nodes
// what the instances that this node looks at report. Pure: the clock and the sending are hooks.
//
// A change is sent with the next tick. While nothing changes, one small message vouches for the
// whole table: every instance in it was asked, and answered the same, no longer ago than the
// message says. It names those that answer late, so that they do not hold the rest back.

namespace hemlockweir {

class StatusPublisher {
public:
    struct Options {
        Millis confirmInterval { 900 }; // ms, between two messages at most
        Millis lateAfter { 700 }; // ms since it was asked, until an instance without an answer is not vouched for
        Millis fullTableInterval { 5000 }; // ms, between two sendings of the whole table at least
        Clock clock;
        std::function<void(const Statuses&)> broadcast;
        std::function<bool(const std::string& id)> publishesLoad; // whether this node tells the instance's load; unset: always
    };

    explicit StatusPublisher(Options options);

    // Takes what came of a look.
    void recordStatus(const std::string& id, const InstanceStatus& status, Millis polledAt);
    void recordUnreachable(const std::string& id);

    // Withdraws instances that this node does not observe any more.
    void keepOnly(const std::set<std::string>& observed);

    // The whole table is wanted.
    void requestFullTable() { isFullTableRequested_ = true; }

    // Sends what is due. Call every 50 ms or so.
    void tick();

    // Instances vouched for.
    size_t size() const { return table_.size(); }

private:
    struct Row {
        InstanceStatus status;
        Millis polledAt { 0 };
        std::optional<LoadRow> sentLoad; // as the others know it; its index is not used
    };

    void withdraw(const std::string& id, StatusChange change);
    void sendFullTable(Millis now);
    void sendChanges(Millis now, bool resetsTable);
    void sendConfirmation(Millis now);
    std::vector<LoadRow> changedLoads();
    bool isLate(const Row& row, Millis now) const { return now - row.polledAt > options_.lateAfter; }
    Millis oldestAge(Millis now) const;
    std::vector<uint16_t> lateIndices(Millis now) const;
    void send(Statuses& message, Millis now);

    Options options_;
    std::map<std::string, Row> table_; // by instance: what the others were told
    std::map<std::string, StatusRow> changes_; // by instance: not sent yet
    std::set<std::string> unreachable_; // told, and not answered since
    uint32_t version_ = 0;
    Millis nextConfirmAt_ { 0 };
    Millis nextFullTableAt_ { 0 };
    size_t resendIndex_ = 0; // index of the load that the next message repeats
    bool isFullTableRequested_ = false;
};

// Returns the row that tells of a status.
StatusRow makeStatusRow(const InstanceStatus& status);

// Returns the status that a row tells of, without its load.
InstanceStatus readStatusRow(const StatusRow& row);

// Returns the load of a status as it is sent.
LoadRow makeLoadRow(const InstanceStatus& status);

} // namespace hemlockweir
