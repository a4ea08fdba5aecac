#include "fleet/StatusReceiver.h"

#include "fleet/StatusPublisher.h"

namespace hemlockweir {

static constexpr double tenthsPerMs = 10; // tenths of a millisecond per millisecond
// An observer that has sent nothing for maxSilence is not asked for its table. Its copy is dropped
// after the retention time.
static constexpr Millis maxSilence { 3000 };
static constexpr Millis retention { 60000 };

StatusReceiver::StatusReceiver(Options options, FleetTable& table)
    : options_(std::move(options))
    , table_(table)
{
}

StatusReceiver::Copy& StatusReceiver::copyOf(const Sender& sender)
{
    Copy& copy = copies_[sender.node];
    if (copy.incarnation != sender.incarnation) {
        copy = {};
        copy.incarnation = sender.incarnation;
    }
    return copy;
}

// Advances the copy's version by one message. Returns false if the message is older than the copy.
bool StatusReceiver::advance(Copy& copy, const Statuses& message)
{
    if (copy.isCurrent && message.version < copy.version)
        return false;
    if (message.resetsTable) {
        copy.statuses.clear();
        copy.isCurrent = true;
    } else if (message.version != copy.version + (message.rows.empty() ? 0 : 1)) {
        copy.isCurrent = copy.isCurrent && message.version == copy.version;
    }
    copy.version = message.version;
    return true;
}

void StatusReceiver::applyRow(Copy& copy, const StatusRow& row, Millis sentAt, bool isAgeKnown)
{
    copy.statuses.erase(row.id);
    const Millis polledAt = sentAt - Millis(row.ageMs);
    if (row.change == StatusChange::Reported) {
        const InstanceStatus status = readStatusRow(row);
        copy.statuses[row.id] = status;
        if (isAgeKnown)
            table_.applyPeerStatus(row.id, status, polledAt);
    } else if (row.change == StatusChange::Unreachable && isAgeKnown) {
        table_.applyPeerFailure(row.id, polledAt);
    }
}

void StatusReceiver::applyLoads(const Copy& copy, const std::vector<LoadRow>& loads)
{
    auto at = copy.statuses.begin();
    size_t index = 0;
    // The rows are sorted by index.
    for (const LoadRow& load : loads) {
        for (; index < load.index && at != copy.statuses.end(); ++index)
            ++at;
        if (at == copy.statuses.end())
            return;
        table_.applyPeerLoad(at->first, { .running = load.running, .waiting = load.waiting, .stepMs = load.stepTenthsMs / tenthsPerMs });
    }
}

void StatusReceiver::handle(const Sender& sender, const Statuses& message)
{
    Copy& copy = copyOf(sender);
    const Millis now = options_.clock();
    copy.receivedAt = now;
    const std::optional<Millis> delay = copy.delay.measure(Millis(message.sentAtMs), now);
    const bool isDuplicate = copy.isCurrent && !message.rows.empty() && message.version == copy.version;
    if (isDuplicate || !advance(copy, message))
        return;
    const Millis sentAt = now - delay.value_or(Millis(0));
    for (const StatusRow& row : message.rows)
        applyRow(copy, row, sentAt, delay.has_value());
    // An index refers to the complete table. After a message with rows, more messages may follow to
    // complete it.
    if (!copy.isCurrent || !delay || !message.rows.empty())
        return;
    table_.confirmStatuses(copy.statuses, message.late, sentAt - Millis(message.ageMs));
    applyLoads(copy, message.loads);
}

void StatusReceiver::tick()
{
    const Millis now = options_.clock();
    if (now < nextRequestAt_)
        return;
    std::erase_if(copies_, [&](const auto& entry) { return now - entry.second.receivedAt > retention; });
    StatusesRequest request;
    for (const auto& [node, copy] : copies_) {
        if (!copy.isCurrent && now - copy.receivedAt <= maxSilence && request.observers.size() < maxRowsPerMessage)
            request.observers.push_back(node);
    }
    if (request.observers.empty())
        return;
    options_.broadcast(request);
    nextRequestAt_ = now + options_.requestInterval;
}

} // namespace hemlockweir
