#pragma once

#include "report/Metrics.h"

#include <QJsonArray>
#include <QJsonObject>
#include <deque>
#include <map>
#include <mutex>
#include <vector>

// What a node remembers of late, so that an operator can ask why. Bounded: the oldest events go
// first. Thread-safe; the locks are leaves.

namespace hemlockweir {

// How one request ended here.
struct RequestEvent {
    int64_t atMs = 0; // wall time, ms since the epoch
    RequestRecord record;
};

class RequestLog {
public:
    explicit RequestLog(size_t capacity = 4096);

    void add(const RequestEvent& event);

    // The events of one request, oldest first.
    std::vector<RequestEvent> find(const std::string& requestId) const;

private:
    size_t capacity_;
    mutable std::mutex mutex_;
    std::deque<RequestEvent> events_;
};

// One group as it was seen at one time.
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

// A change of one group.
struct GroupEvent {
    int64_t atMs = 0; // wall time, ms since the epoch
    std::string what; // "whole", "broken" or "gone"
    GroupObservation group;
};

class GroupLog {
public:
    explicit GroupLog(size_t capacity = 4096);

    // Notes what differs from the sightings before; `goneReason` says why a group is seen no more.
    using GoneReason = std::function<std::string(const GroupObservation&)>;
    void observe(const std::vector<GroupObservation>& groups, int64_t nowMs, const GoneReason& goneReason);

    // The changes of one group, or of every group that an instance was a member of, oldest first.
    std::vector<GroupEvent> findGroup(const std::string& group) const;
    std::vector<GroupEvent> findInstance(const std::string& instance) const;

private:
    void add(GroupEvent event);

    size_t capacity_;
    mutable std::mutex mutex_;
    std::map<std::string, GroupObservation> last_; // by group
    std::deque<GroupEvent> events_;
};

QJsonObject formatEvent(const RequestEvent& event);
QJsonObject formatEvent(const GroupEvent& event);

} // namespace hemlockweir
