#include "fleet/HeardStatuses.h"

#include "fleet/StatusPublisher.h"

namespace hemlockweir {

static constexpr double stepTenths = 10; // 0.1 ms in a ms
// An observer that was silent for so long is not asked for its table, and then forgotten.
static constexpr Millis askedWithin { 3000 };
static constexpr Millis memory { 60000 };

HeardStatuses::HeardStatuses(Options options, FleetTable& table)
    : options_(std::move(options))
    , table_(table)
{
}

HeardStatuses::Copy& HeardStatuses::copyOf(const Sender& sender)
{
    Copy& copy = copies_[sender.node];
    if (copy.incarnation != sender.incarnation) {
        copy = {};
        copy.incarnation = sender.incarnation;
    }
    return copy;
}

// Moves the copy on by one message; false when the message is older than the copy.
bool HeardStatuses::follow(Copy& copy, const Statuses& message)
{
    if (copy.isCurrent && message.version < copy.version)
        return false;
    if (message.startsAnew) {
        copy.statuses.clear();
        copy.isCurrent = true;
    } else if (message.version != copy.version + (message.rows.empty() ? 0 : 1)) {
        copy.isCurrent = copy.isCurrent && message.version == copy.version;
    }
    copy.version = message.version;
    return true;
}

void HeardStatuses::takeRow(Copy& copy, const StatusRow& row, Millis sentAt, bool isCounted)
{
    copy.statuses.erase(row.id);
    const Millis askedAt = sentAt - Millis(row.ageMs);
    if (row.news == StatusNews::Reported) {
        const InstanceStatus status = readStatusRow(row);
        copy.statuses[row.id] = status;
        if (isCounted)
            table_.setHeardStatus(row.id, status, askedAt);
    } else if (row.news == StatusNews::Unreachable && isCounted) {
        table_.dropHeardStatus(row.id, askedAt);
    }
}

void HeardStatuses::takeLoads(const Copy& copy, const std::vector<LoadRow>& loads)
{
    auto at = copy.statuses.begin();
    size_t place = 0;
    // Rows come in the order of their places.
    for (const LoadRow& load : loads) {
        for (; place < load.place && at != copy.statuses.end(); ++place)
            ++at;
        if (at == copy.statuses.end())
            return;
        table_.setHeardLoad(at->first, { .running = load.running, .waiting = load.waiting, .stepMs = load.stepTenthsMs / stepTenths });
    }
}

void HeardStatuses::take(const Sender& sender, const Statuses& message)
{
    Copy& copy = copyOf(sender);
    const Millis now = options_.clock();
    copy.heardAt = now;
    const std::optional<Millis> delay = copy.delay.measure(Millis(message.sentAtMs), now);
    const bool isDuplicate = copy.isCurrent && !message.rows.empty() && message.version == copy.version;
    if (isDuplicate || !follow(copy, message))
        return;
    const Millis sentAt = now - delay.value_or(Millis(0));
    for (const StatusRow& row : message.rows)
        takeRow(copy, row, sentAt, delay.has_value());
    // Places count in the whole table, which further messages with rows may still complete.
    if (!copy.isCurrent || !delay || !message.rows.empty())
        return;
    table_.vouch(copy.statuses, message.late, sentAt - Millis(message.ageMs));
    takeLoads(copy, message.loads);
}

void HeardStatuses::tick()
{
    const Millis now = options_.clock();
    if (now < nextWantAt_)
        return;
    std::erase_if(copies_, [&](const auto& entry) { return now - entry.second.heardAt > memory; });
    StatusesWanted wanted;
    for (const auto& [node, copy] : copies_) {
        if (!copy.isCurrent && now - copy.heardAt <= askedWithin && wanted.observers.size() < maxRowsPerMessage)
            wanted.observers.push_back(node);
    }
    if (wanted.observers.empty())
        return;
    options_.broadcast(wanted);
    nextWantAt_ = now + options_.wantInterval;
}

} // namespace hemlockweir
