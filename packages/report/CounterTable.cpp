#include "report/CounterTable.h"

#include <algorithm>
#include <tuple>

namespace hemlockweir {

// Bounds on the size of the table. Further parts are dropped. Once a part is full, the requests of
// all callers are counted under `otherCaller`.
static constexpr size_t maxParts = 2000;
static constexpr size_t maxServiceRows = 2000;
static constexpr char otherCaller[] = "other";

static auto keyOf(const ServiceRow& row)
{
    return std::tie(row.caller, row.priority);
}

static auto keyOf(const WasteRow& row)
{
    return std::tie(row.cause);
}

static void mergeMax(ServiceRow& row, const ServiceRow& other)
{
    row.whole = std::max(row.whole, other.whole);
    row.late = std::max(row.late, other.late);
    row.refused = std::max(row.refused, other.refused);
    row.failed = std::max(row.failed, other.failed);
    row.abandoned = std::max(row.abandoned, other.abandoned);
    row.tokens = std::max(row.tokens, other.tokens);
}

static void mergeMax(WasteRow& row, const WasteRow& other)
{
    row.strandedMs = std::max(row.strandedMs, other.strandedMs);
    row.downtimeMs = std::max(row.downtimeMs, other.downtimeMs);
}

template <typename Row>
static auto findRow(std::vector<Row>& rows, const Row& key)
{
    return std::lower_bound(rows.begin(), rows.end(), key, [](const Row& a, const Row& b) { return keyOf(a) < keyOf(b); });
}

template <typename Row>
static void mergeRows(std::vector<Row>& rows, const std::vector<Row>& others)
{
    for (const Row& other : others) {
        const auto at = findRow(rows, other);
        if (at != rows.end() && keyOf(*at) == keyOf(other))
            mergeMax(*at, other);
        else
            rows.insert(at, other);
    }
}

ReportPart mergeParts(const ReportPart& a, const ReportPart& b)
{
    ReportPart merged { .id = a.id, .updatedMs = std::max(a.updatedMs, b.updatedMs), .service = {}, .waste = {} };
    for (const ReportPart* part : { &a, &b }) {
        mergeRows(merged.service, part->service);
        mergeRows(merged.waste, part->waste);
    }
    return merged;
}

static uint64_t& counterOf(ServiceRow& row, RequestEnd end)
{
    switch (end) {
    case RequestEnd::Whole:
        return row.whole;
    case RequestEnd::Late:
        return row.late;
    case RequestEnd::Refused:
        return row.refused;
    case RequestEnd::Failed:
        return row.failed;
    case RequestEnd::Abandoned:
        return row.abandoned;
    }
    return row.failed;
}

void CounterTable::count(const PartId& own, const RequestRecord& record, int64_t nowMs)
{
    std::lock_guard lock(mutex_);
    ReportPart& part = parts_[own];
    part.id = own;
    part.updatedMs = std::max(part.updatedMs, nowMs);
    ServiceRow key;
    key.caller = part.service.size() < maxServiceRows ? record.caller : otherCaller;
    key.priority = record.priority;
    auto at = findRow(part.service, key);
    if (at == part.service.end() || keyOf(*at) != keyOf(key))
        at = part.service.insert(at, key);
    ++counterOf(*at, record.end);
    at->tokens += record.tokens;
}

bool CounterTable::merge(const ReportPart& part)
{
    std::lock_guard lock(mutex_);
    const auto existing = parts_.find(part.id);
    if (existing == parts_.end() && parts_.size() >= maxParts)
        return false;
    const ReportPart before = existing == parts_.end() ? ReportPart { .id = part.id, .service = {}, .waste = {} } : existing->second;
    const ReportPart after = mergeParts(before, part);
    parts_[part.id] = after;
    return after != before;
}

std::vector<ReportPart> CounterTable::parts() const
{
    std::lock_guard lock(mutex_);
    std::vector<ReportPart> all;
    for (const auto& [id, part] : parts_)
        all.push_back(part);
    return all;
}

ReportPart CounterTable::part(const PartId& id) const
{
    std::lock_guard lock(mutex_);
    const auto found = parts_.find(id);
    return found == parts_.end() ? ReportPart { .id = id, .service = {}, .waste = {} } : found->second;
}

void CounterTable::remove(const PartId& id)
{
    std::lock_guard lock(mutex_);
    parts_.erase(id);
}

} // namespace hemlockweir
