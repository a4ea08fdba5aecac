#pragma once

#include "fleet/Instance.h"
#include "wire/InstanceMessages.h"

#include <functional>
#include <map>
#include <optional>
#include <set>

// The sending side of sharing polls of instances within a failure domain: publishes the statuses of
// the instances that this node polls to the other nodes. Pure: the clock and the sending are hooks.
//
// A change is sent with the next tick. While nothing changes, one small message periodically
// confirms the whole table: every instance in it was polled, and reported the same status, no
// longer ago than the message says. The message lists the instances whose responses are late, so
// that they do not delay the confirmation of the others.

namespace hemlockweir {

class StatusPublisher {
public:
    struct Options {
        Millis confirmInterval { 900 }; // ms, maximum time between two confirmations
        Millis lateAfter { 700 }; // ms since the last answered poll, after which an instance is not confirmed
        Millis fullTableInterval { 5000 }; // ms, minimum time between two full tables
        Clock clock;
        std::function<void(const Statuses&)> broadcast;
        std::function<bool(const std::string& id)> publishesLoad; // whether this node publishes the instance's load; unset: always
    };

    explicit StatusPublisher(Options options);

    // Records the result of a poll.
    void recordStatus(const std::string& id, const InstanceStatus& status, Millis polledAt);
    void recordUnreachable(const std::string& id);

    // Withdraws the instances that this node no longer observes.
    void keepOnly(const std::set<std::string>& observed);

    // Schedules a full table to be sent.
    void requestFullTable() { isFullTableRequested_ = true; }

    // Sends everything that is due. Call it about every 50 ms.
    void tick();

    // Returns the number of instances in the table.
    size_t size() const { return table_.size(); }

private:
    struct Row {
        InstanceStatus status;
        Millis polledAt { 0 };
        std::optional<LoadRow> sentLoad; // last load sent to the other nodes; its index is not used
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
    std::map<std::string, Row> table_; // by instance; current statuses
    std::map<std::string, StatusRow> changes_; // by instance; changes to send
    std::set<std::string> unreachable_; // published as unreachable, without a response since
    uint32_t version_ = 0;
    Millis nextConfirmAt_ { 0 };
    Millis nextFullTableAt_ { 0 };
    size_t resendIndex_ = 0; // index of the load that the next message repeats
    bool isFullTableRequested_ = false;
};

// Returns the row that publishes a status.
StatusRow makeStatusRow(const InstanceStatus& status);

// Returns the status that a row holds, without its load.
InstanceStatus readStatusRow(const StatusRow& row);

// Returns the load of a status in the format of the message.
LoadRow makeLoadRow(const InstanceStatus& status);

} // namespace hemlockweir
