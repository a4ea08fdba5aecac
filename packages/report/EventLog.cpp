#include "report/EventLog.h"

#include <algorithm>

namespace hemlockweir {

RequestLog::RequestLog(size_t capacity)
    : capacity_(capacity)
{
}

void RequestLog::add(const RequestEvent& event)
{
    std::lock_guard lock(mutex_);
    events_.push_back(event);
    if (events_.size() > capacity_)
        events_.pop_front();
}

std::vector<RequestEvent> RequestLog::find(const std::string& requestId) const
{
    std::lock_guard lock(mutex_);
    std::vector<RequestEvent> found;
    std::copy_if(events_.begin(), events_.end(), std::back_inserter(found), [&](const RequestEvent& event) { return event.record.requestId == requestId; });
    return found;
}

GroupLog::GroupLog(size_t capacity)
    : capacity_(capacity)
{
}

void GroupLog::add(GroupEvent event)
{
    events_.push_back(std::move(event));
    if (events_.size() > capacity_)
        events_.pop_front();
}

void GroupLog::observe(const std::vector<GroupObservation>& groups, int64_t nowMs, const GoneReason& goneReason)
{
    std::lock_guard lock(mutex_);
    std::map<std::string, GroupObservation> seen;
    for (const GroupObservation& group : groups) {
        seen[group.group] = group;
        const auto before = last_.find(group.group);
        if (before == last_.end() || before->second != group)
            add({ .atMs = nowMs, .what = group.whole ? "whole" : "broken", .group = group });
    }
    for (auto& [name, group] : last_) {
        if (seen.contains(name))
            continue;
        group.reason = goneReason(group);
        add({ .atMs = nowMs, .what = "gone", .group = group });
    }
    last_ = std::move(seen);
}

std::vector<GroupEvent> GroupLog::findGroup(const std::string& group) const
{
    std::lock_guard lock(mutex_);
    std::vector<GroupEvent> found;
    std::copy_if(events_.begin(), events_.end(), std::back_inserter(found), [&](const GroupEvent& event) { return event.group.group == group; });
    return found;
}

std::vector<GroupEvent> GroupLog::findInstance(const std::string& instance) const
{
    std::lock_guard lock(mutex_);
    std::vector<GroupEvent> found;
    std::copy_if(events_.begin(), events_.end(), std::back_inserter(found), [&](const GroupEvent& event) {
        return std::find(event.group.members.begin(), event.group.members.end(), instance) != event.group.members.end();
    });
    return found;
}

QJsonObject formatEvent(const RequestEvent& event)
{
    const RequestRecord& record = event.record;
    return { { "at_ms", static_cast<double>(event.atMs) }, { "request", QString::fromStdString(record.requestId) },
        { "caller", QString::fromStdString(record.caller) }, { "priority", QString::fromStdString(record.priority) },
        { "end", QString::fromStdString(requestEndName(record.end)) }, { "reason", QString::fromStdString(record.reason) },
        { "outcome", QString::fromStdString(record.outcome) }, { "attempts", static_cast<int>(record.attempts) },
        { "tokens", static_cast<int>(record.tokens) }, { "first_token_ms", static_cast<double>(record.firstToken.count()) },
        { "total_ms", static_cast<double>(record.total.count()) } };
}

QJsonObject formatEvent(const GroupEvent& event)
{
    QJsonArray members;
    for (const std::string& member : event.group.members)
        members.append(QString::fromStdString(member));
    return { { "at_ms", static_cast<double>(event.atMs) }, { "what", QString::fromStdString(event.what) },
        { "group", QString::fromStdString(event.group.group) }, { "epoch", static_cast<double>(event.group.epoch) },
        { "model", QString::fromStdString(event.group.model) }, { "domain", QString::fromStdString(event.group.domain) },
        { "members", members }, { "reason", QString::fromStdString(event.group.reason) } };
}

} // namespace hemlockweir
