#include "fleet/StatusPublisher.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace hemlockweir {

// Rows of groups of four with usual names stay under targetDatagramBytes.
static constexpr size_t rowsPerMessage = 8;
static constexpr size_t loadsPerMessage = 24;
static constexpr double stepTenths = 10; // 0.1 ms in a ms
// A step time that changed by less is not news.
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
    return { .place = 0, .running = clampTo<uint16_t>(status.running), .waiting = clampTo<uint16_t>(status.waiting), .stepTenthsMs = clampTo<uint16_t>(std::round(status.stepMs * stepTenths)) };
}

static bool isNewsOf(const LoadRow& load, const std::optional<LoadRow>& known)
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

void StatusPublisher::noteStatus(const std::string& id, const InstanceStatus& status, Millis askedAt)
{
    unreachable_.erase(id);
    const auto known = table_.find(id);
    if (known == table_.end() || !isSameButLoad(known->second.status, status)) {
        news_[id] = makeStatusRow(status);
        table_[id] = { .status = status, .askedAt = askedAt, .sentLoad = {} };
        return;
    }
    known->second.status = status;
    known->second.askedAt = askedAt;
}

void StatusPublisher::noteUnreachable(const std::string& id)
{
    if (unreachable_.insert(id).second)
        withdraw(id, StatusNews::Unreachable);
}

void StatusPublisher::withdraw(const std::string& id, StatusNews news)
{
    table_.erase(id);
    StatusRow& row = news_[id];
    row = { .news = news, .id = id };
}

void StatusPublisher::keepOnly(const std::set<std::string>& observed)
{
    std::erase_if(unreachable_, [&](const std::string& id) { return !observed.contains(id); });
    std::vector<std::string> lost;
    for (const auto& [id, row] : table_) {
        if (!observed.contains(id))
            lost.push_back(id);
    }
    for (const std::string& id : lost)
        withdraw(id, StatusNews::Withdrawn);
}

Millis StatusPublisher::oldestAge(Millis now) const
{
    Millis oldest { 0 };
    for (const auto& [id, row] : table_) {
        if (!isLate(row, now))
            oldest = std::max(oldest, now - row.askedAt);
    }
    return oldest;
}

std::vector<uint16_t> StatusPublisher::latePlaces(Millis now) const
{
    std::vector<uint16_t> places;
    uint16_t place = 0;
    for (const auto& [id, row] : table_) {
        if (isLate(row, now) && places.size() < maxLatePerMessage)
            places.push_back(place);
        ++place;
    }
    return places;
}

void StatusPublisher::send(Statuses& message, Millis now)
{
    message.sentAtMs = static_cast<uint64_t>(now.count());
    message.version = version_;
    message.late = latePlaces(now);
    message.ageMs = clampTo<uint16_t>(static_cast<double>(oldestAge(now).count()));
    options_.broadcast(message);
}

void StatusPublisher::sendNews(Millis now, bool startsAnew)
{
    startsAnew = startsAnew || version_ == 0;
    while (!news_.empty() || startsAnew) {
        Statuses message { .startsAnew = startsAnew };
        startsAnew = false;
        while (!news_.empty() && message.rows.size() < rowsPerMessage) {
            StatusRow row = std::move(news_.extract(news_.begin()).mapped());
            if (row.news == StatusNews::Reported)
                row.ageMs = static_cast<uint32_t>((now - table_.at(row.id).askedAt).count());
            message.rows.push_back(std::move(row));
        }
        ++version_;
        send(message, now);
    }
}

void StatusPublisher::sendWhole(Millis now)
{
    for (auto& [id, row] : table_) {
        news_[id] = makeStatusRow(row.status);
        row.sentLoad.reset();
    }
    sendNews(now, true);
    nextWholeAt_ = now + options_.wholeInterval;
    isWholeWanted_ = false;
}

// Rows beyond the limit wait for the next message. One more in turn repairs what was lost.
std::vector<LoadRow> StatusPublisher::changedLoads()
{
    std::vector<LoadRow> loads;
    uint16_t place = 0;
    repairAt_ = table_.empty() ? 0 : (repairAt_ + 1) % table_.size();
    for (auto& [id, row] : table_) {
        LoadRow load = makeLoadRow(row.status);
        const bool isSent = loads.size() < loadsPerMessage && (isNewsOf(load, row.sentLoad) || place == repairAt_) && (!options_.sendsLoad || options_.sendsLoad(id));
        if (isSent) {
            row.sentLoad = load;
            load.place = place;
            loads.push_back(load);
        }
        ++place;
    }
    return loads;
}

void StatusPublisher::sendVouch(Millis now)
{
    Statuses message;
    message.loads = changedLoads();
    send(message, now);
    nextVouchAt_ = now + options_.vouchInterval;
}

void StatusPublisher::tick()
{
    const Millis now = options_.clock();
    if (isWholeWanted_ && now >= nextWholeAt_)
        sendWhole(now);
    if (!news_.empty())
        sendNews(now, false);
    if (now >= nextVouchAt_ && !table_.empty())
        sendVouch(now);
}

} // namespace hemlockweir
