#include "fleet/StatusPublisher.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace hemlockweir {

// Eight rows of members of groups of four, with names of usual length, stay below
// targetDatagramBytes.
static constexpr size_t rowsPerMessage = 8;
static constexpr size_t loadsPerMessage = 24;
static constexpr double tenthsPerMs = 10; // tenths of a millisecond per millisecond
// A step time is sent again only if it changed by more than this fraction.
static constexpr double stepTolerance = 0.25;

template <typename Narrow>
static Narrow clampTo(double value)
{
    return static_cast<Narrow>(std::clamp(value, 0.0, static_cast<double>(std::numeric_limits<Narrow>::max())));
}

StatusRow makeStatusRow(const InstanceStatus& status)
{
    return { .id = status.id,
        .incarnation = status.incarnation,
        .state = static_cast<uint8_t>(status.state),
        .group = status.group,
        .epoch = status.epoch,
        .model = status.model,
        .members = status.members,
        .slots = status.slots,
        .leaving = status.leaving };
}

InstanceStatus readStatusRow(const StatusRow& row)
{
    return { .id = row.id,
        .incarnation = row.incarnation,
        .state = row.state <= static_cast<uint8_t>(EngineState::Broken) ? static_cast<EngineState>(row.state) : EngineState::Broken,
        .group = row.group,
        .epoch = row.epoch,
        .model = row.model,
        .members = row.members,
        .slots = row.slots,
        .leaving = row.leaving };
}

LoadRow makeLoadRow(const InstanceStatus& status)
{
    return { .index = 0, .running = clampTo<uint16_t>(status.running), .waiting = clampTo<uint16_t>(status.waiting), .stepTenthsMs = clampTo<uint16_t>(std::round(status.stepMs * tenthsPerMs)) };
}

static bool hasChanged(const LoadRow& load, const std::optional<LoadRow>& known)
{
    if (!known)
        return true;
    const LoadRow& sent = *known;
    const double stepChange = std::abs(static_cast<double>(load.stepTenthsMs) - sent.stepTenthsMs);
    return load.running != sent.running || load.waiting != sent.waiting || stepChange > stepTolerance * sent.stepTenthsMs;
}

StatusPublisher::StatusPublisher(Options options)
    : options_(std::move(options))
{
}

void StatusPublisher::recordStatus(const std::string& id, const InstanceStatus& status, Millis polledAt)
{
    unreachable_.erase(id);
    const auto known = table_.find(id);
    if (known == table_.end() || !equalsIgnoringLoad(known->second.status, status)) {
        changes_[id] = makeStatusRow(status);
        table_[id] = { .status = status, .polledAt = polledAt, .sentLoad = {} };
        return;
    }
    known->second.status = status;
    known->second.polledAt = polledAt;
}

void StatusPublisher::recordUnreachable(const std::string& id)
{
    if (unreachable_.insert(id).second)
        withdraw(id, StatusChange::Unreachable);
}

void StatusPublisher::withdraw(const std::string& id, StatusChange change)
{
    table_.erase(id);
    StatusRow& row = changes_[id];
    row = { .change = change, .id = id };
}

void StatusPublisher::keepOnly(const std::set<std::string>& observed)
{
    std::erase_if(unreachable_, [&](const std::string& id) { return !observed.contains(id); });
    std::vector<std::string> removed;
    for (const auto& [id, row] : table_) {
        if (!observed.contains(id))
            removed.push_back(id);
    }
    for (const std::string& id : removed)
        withdraw(id, StatusChange::Withdrawn);
}

Millis StatusPublisher::oldestAge(Millis now) const
{
    Millis oldest { 0 };
    for (const auto& [id, row] : table_) {
        if (!isLate(row, now))
            oldest = std::max(oldest, now - row.polledAt);
    }
    return oldest;
}

std::vector<uint16_t> StatusPublisher::lateIndices(Millis now) const
{
    std::vector<uint16_t> indices;
    uint16_t index = 0;
    for (const auto& [id, row] : table_) {
        if (isLate(row, now) && indices.size() < maxLatePerMessage)
            indices.push_back(index);
        ++index;
    }
    return indices;
}

void StatusPublisher::send(Statuses& message, Millis now)
{
    message.sentAtMs = static_cast<uint64_t>(now.count());
    message.version = version_;
    message.late = lateIndices(now);
    message.ageMs = clampTo<uint16_t>(static_cast<double>(oldestAge(now).count()));
    options_.broadcast(message);
}

void StatusPublisher::sendChanges(Millis now, bool resetsTable)
{
    resetsTable = resetsTable || version_ == 0;
    while (!changes_.empty() || resetsTable) {
        Statuses message { .resetsTable = resetsTable };
        resetsTable = false;
        while (!changes_.empty() && message.rows.size() < rowsPerMessage) {
            StatusRow row = std::move(changes_.extract(changes_.begin()).mapped());
            if (row.change == StatusChange::Reported)
                row.ageMs = static_cast<uint32_t>((now - table_.at(row.id).polledAt).count());
            message.rows.push_back(std::move(row));
        }
        ++version_;
        send(message, now);
    }
}

void StatusPublisher::sendFullTable(Millis now)
{
    for (auto& [id, row] : table_) {
        changes_[id] = makeStatusRow(row.status);
        row.sentLoad.reset();
    }
    sendChanges(now, true);
    nextFullTableAt_ = now + options_.fullTableInterval;
    isFullTableRequested_ = false;
}

// Returns the changed loads. Rows beyond the limit are sent with the next message. Each message
// also repeats one unchanged load, in turn, to correct receivers that missed a message.
std::vector<LoadRow> StatusPublisher::changedLoads()
{
    std::vector<LoadRow> loads;
    uint16_t index = 0;
    resendIndex_ = table_.empty() ? 0 : (resendIndex_ + 1) % table_.size();
    for (auto& [id, row] : table_) {
        LoadRow load = makeLoadRow(row.status);
        const bool isSent = loads.size() < loadsPerMessage && (hasChanged(load, row.sentLoad) || index == resendIndex_) && (!options_.publishesLoad || options_.publishesLoad(id));
        if (isSent) {
            row.sentLoad = load;
            load.index = index;
            loads.push_back(load);
        }
        ++index;
    }
    return loads;
}

void StatusPublisher::sendConfirmation(Millis now)
{
    Statuses message;
    message.loads = changedLoads();
    send(message, now);
    nextConfirmAt_ = now + options_.confirmInterval;
}

void StatusPublisher::tick()
{
    const Millis now = options_.clock();
    if (isFullTableRequested_ && now >= nextFullTableAt_)
        sendFullTable(now);
    if (!changes_.empty())
        sendChanges(now, false);
    if (now >= nextConfirmAt_ && !table_.empty())
        sendConfirmation(now);
}

} // namespace hemlockweir
