#pragma once

#include "report/Metrics.h"

#include <QJsonArray>
#include <QJsonObject>
#include <deque>
#include <map>
#include <mutex>
#include <vector>

// Logs of recent events in memory, which let an operator find out why a request or a group failed.
// They have a fixed capacity and drop the oldest events first. Thread-safe. No other lock is
// acquired while the lock of a RequestLog is held. GroupLog calls `goneReason` under its lock.

namespace hemlockweir {

// The end of one request on this node.
struct RequestEvent {
    int64_t atMs = 0; // wall time, ms since the Unix epoch
    RequestRecord record;
};

class RequestLog {
public:
    explicit RequestLog(size_t capacity = 4096);

    void add(const RequestEvent& event);

    // Returns the events of one request, oldest first.
    std::vector<RequestEvent> find(const std::string& requestId) const;

private:
    size_t capacity_;
    mutable std::mutex mutex_;
    std::deque<RequestEvent> events_;
};

// The state of one group at one time.
struct GroupObservation {
    std::string group;
    uint64_t epoch = 0;
    std::string model;
    std::string domain;
    std::vector<std::string> members;
    bool whole = false;
    std::string reason; // empty when whole

    auto operator<=>(const GroupObservation&) const = default;
};

// A change in the state of one group.
struct GroupEvent {
    int64_t atMs = 0; // wall time, ms since the Unix epoch
    std::string what; // "whole", "broken" or "gone"
    GroupObservation group;
};

class GroupLog {
public:
    explicit GroupLog(size_t capacity = 4096);

    // Records the differences from the previous call. `goneReason` returns why a group that was
    // present then is missing now; it is called under the lock.
    using GoneReason = std::function<std::string(const GroupObservation&)>;
    void observe(const std::vector<GroupObservation>& groups, int64_t nowMs, const GoneReason& goneReason);

    // Return the changes of one group, or of all groups with an instance as a member, oldest first.
    std::vector<GroupEvent> findGroup(const std::string& group) const;
    std::vector<GroupEvent> findInstance(const std::string& instance) const;

private:
    void add(GroupEvent event);

    size_t capacity_;
    mutable std::mutex mutex_;
    std::map<std::string, GroupObservation> last_; // by group
    std::deque<GroupEvent> events_;
};

// Return an event as JSON for the operator interface.
QJsonObject formatEvent(const RequestEvent& event);
QJsonObject formatEvent(const GroupEvent& event);

} // namespace hemlockweir
