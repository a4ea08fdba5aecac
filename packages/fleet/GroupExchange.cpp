#include "fleet/GroupExchange.h"

namespace hemlockweir {

// Six rows of groups with four members and names of usual length stay below targetDatagramBytes.
static constexpr size_t rowsPerDatagram = 6;

GroupExchange::GroupExchange(Options options, FleetTable& table)
    : options_(std::move(options))
    , table_(table)
{
}

GroupRow GroupExchange::makeRow(const GroupCondition& group, Millis now) const
{
    const Replica& replica = group.replica;
    const Millis age = group.whole ? now - replica.reportedAt : Millis(0);
    return { .group = group.group,
        .epoch = group.epoch,
        .model = group.model,
        .domain = group.domain,
        .members = group.members,
        .whole = group.whole,
        .running = replica.running,
        .waiting = replica.waiting,
        .slots = replica.slots,
        .ageMs = static_cast<uint32_t>(age.count()) };
}

void GroupExchange::flush(Groups& message) const
{
    // The timestamp is taken as late as possible, because receivers can't see a delay between it
    // and the sending.
    message.sentAtMs = static_cast<uint64_t>(options_.clock().count());
    options_.broadcast(message);
    message.rows.clear();
}

void GroupExchange::publish()
{
    const Millis now = options_.clock();
    Groups message;
    for (const std::string& instance : table_.localDraining()) {
        if (message.draining.size() < maxRowsPerMessage)
            message.draining.push_back(instance);
    }
    for (const GroupCondition& group : table_.groups()) {
        if (!options_.shouldPublish(group))
            continue;
        message.rows.push_back(makeRow(group, now));
        message.rows.back().ageMs += static_cast<uint32_t>((options_.clock() - now).count());
        if (message.rows.size() == rowsPerDatagram)
            flush(message);
    }
    if (!message.rows.empty() || !message.draining.empty())
        flush(message);
}

void GroupExchange::handle(const Envelope& envelope)
{
    if (envelope.kind != MessageKind::Groups)
        return;
    const absl::StatusOr<Groups> groups = decodeBody<Groups>(envelope.body);
    if (!groups.ok())
        return;
    const std::string& observer = envelope.sender.node;
    PeerDelay& peer = delays_[observer];
    if (peer.incarnation != envelope.sender.incarnation)
        peer = { .incarnation = envelope.sender.incarnation, .delay = {} };
    const Millis now = options_.clock();
    const std::optional<Millis> delay = peer.delay.measure(Millis(groups->sentAtMs), now);
    if (!delay)
        return;
    table_.setRemoteDraining(observer, groups->draining, now - *delay);
    for (const GroupRow& row : groups->rows) {
        table_.setRemoteGroup({ .observer = observer,
            .group = row.group,
            .epoch = row.epoch,
            .model = row.model,
            .domain = row.domain,
            .members = row.members,
            .whole = row.whole,
            .slots = row.slots,
            .running = row.running,
            .waiting = row.waiting,
            .reportedAt = now - *delay - Millis(row.ageMs) });
    }
}

} // namespace hemlockweir
