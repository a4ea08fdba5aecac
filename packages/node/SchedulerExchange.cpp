#include "node/SchedulerExchange.h"

#include <algorithm>
#include <cmath>

namespace hemlockweir {

// Maximum number of callers in one message. With the groups, the message stays near the target size
// of one datagram.
static constexpr size_t maxCallerRows = 32;

Usage makeUsage(const NodeUse& use)
{
    Usage usage;
    for (const auto& [group, inFlight] : use.inFlightByGroup)
        usage.groups.push_back({ .group = group, .inFlight = inFlight });
    std::sort(usage.groups.begin(), usage.groups.end(), [](const GroupUsage& a, const GroupUsage& b) { return a.inFlight > b.inFlight; });
    usage.groups.resize(std::min<size_t>(usage.groups.size(), maxRowsPerMessage));
    for (const CallerTokensRow& row : use.callers)
        usage.callers.push_back({ .model = row.model, .rank = row.rank, .caller = row.caller, .tokens = static_cast<float>(row.tokens) });
    std::sort(usage.callers.begin(), usage.callers.end(), [](const CallerUsage& a, const CallerUsage& b) { return a.tokens > b.tokens; });
    usage.callers.resize(std::min(usage.callers.size(), maxCallerRows));
    return usage;
}

NodeUse readUsage(const Usage& usage)
{
    NodeUse use;
    for (const GroupUsage& row : usage.groups)
        use.inFlightByGroup[row.group] = row.inFlight;
    for (const CallerUsage& row : usage.callers) {
        if (std::isfinite(row.tokens) && row.tokens > 0)
            use.callers.push_back({ .model = row.model, .rank = row.rank, .caller = row.caller, .tokens = row.tokens });
    }
    return use;
}

SchedulerExchange::SchedulerExchange(Scheduler& scheduler, PeerLink& peers, Metrics& metrics)
    : scheduler_(scheduler)
    , peers_(peers)
    , metrics_(metrics)
{
}

void SchedulerExchange::publish()
{
    peers_.broadcast(makeUsage(scheduler_.use()));
    setGauges();
}

void SchedulerExchange::setGauges()
{
    metrics_.setGauge("hemlockweir_waiting_requests", "Requests waiting for a slot", static_cast<double>(scheduler_.waitingCount()));
    const IdleSlots idle = scheduler_.idleSlotSeconds();
    metrics_.setGauge("hemlockweir_idle_slot_seconds_not_asked", "Slot-seconds of this node idle while nothing waited", idle.notAsked);
    metrics_.setGauge("hemlockweir_idle_slot_seconds_kept_for_urgent", "Slot-seconds of this node kept free for the most urgent work while other work waited", idle.keptForUrgent);
    metrics_.setGauge("hemlockweir_idle_slot_seconds_not_found", "Slot-seconds of this node idle while work waited and no replica had a slot to give", idle.notFound);
    for (const RankLoad& load : scheduler_.loads()) {
        const std::string rank = std::to_string(load.rank);
        metrics_.setGauge("hemlockweir_waiting_requests_rank_" + rank, "Requests of this rank waiting for a slot", static_cast<double>(load.waiting));
        metrics_.setGauge("hemlockweir_running_requests_rank_" + rank, "Requests of this rank that hold a slot", static_cast<double>(load.running));
    }
}

void SchedulerExchange::handle(const Envelope& envelope)
{
    const absl::StatusOr<Usage> usage = decodeBody<Usage>(envelope.body);
    if (usage.ok())
        scheduler_.setPeerUse(envelope.sender.node, readUsage(*usage));
}

} // namespace hemlockweir
