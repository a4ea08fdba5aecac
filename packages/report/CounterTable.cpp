#include "report/CounterTable.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>
#include <cmath>
#include <tuple>

namespace hemlockweir {

// Parts and rows beyond these are folded or dropped, so that a table stays bounded.
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

static void takeLarger(ServiceRow& row, const ServiceRow& other)
{
    row.whole = std::max(row.whole, other.whole);
    row.late = std::max(row.late, other.late);
    row.refused = std::max(row.refused, other.refused);
    row.failed = std::max(row.failed, other.failed);
    row.abandoned = std::max(row.abandoned, other.abandoned);
    row.tokens = std::max(row.tokens, other.tokens);
}

static void takeLarger(WasteRow& row, const WasteRow& other)
{
    row.strandedMs = std::max(row.strandedMs, other.strandedMs);
    row.downtimeMs = std::max(row.downtimeMs, other.downtimeMs);
}

template <typename Row>
static auto findRow(std::vector<Row>& rows, const Row& like)
{
    return std::lower_bound(rows.begin(), rows.end(), like, [](const Row& a, const Row& b) { return keyOf(a) < keyOf(b); });
}

template <typename Row>
static void mergeRows(std::vector<Row>& rows, const std::vector<Row>& others)
{
    for (const Row& other : others) {
        const auto at = findRow(rows, other);
        if (at != rows.end() && keyOf(*at) == keyOf(other))
            takeLarger(*at, other);
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

static uint64_t& figureOf(ServiceRow& row, RequestEnd end)
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
    ServiceRow wanted;
    wanted.caller = part.service.size() < maxServiceRows ? record.caller : otherCaller;
    wanted.priority = record.priority;
    auto at = findRow(part.service, wanted);
    if (at == part.service.end() || keyOf(*at) != keyOf(wanted))
        at = part.service.insert(at, wanted);
    ++figureOf(*at, record.end);
    at->tokens += record.tokens;
}

bool CounterTable::merge(const ReportPart& part)
{
    std::lock_guard lock(mutex_);
    const auto held = parts_.find(part.id);
    if (held == parts_.end() && parts_.size() >= maxParts)
        return false;
    const ReportPart before = held == parts_.end() ? ReportPart { .id = part.id, .service = {}, .waste = {} } : held->second;
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

void CounterTable::forget(const PartId& id)
{
    std::lock_guard lock(mutex_);
    parts_.erase(id);
}

// Numbers travel as JSON doubles, which are exact up to 2^53.
static double number(uint64_t value)
{
    return static_cast<double>(value);
}

QJsonObject formatPart(const ReportPart& part)
{
    QJsonArray service;
    for (const ServiceRow& row : part.service) {
        service.append(QJsonObject { { "caller", QString::fromStdString(row.caller) }, { "priority", QString::fromStdString(row.priority) },
            { "whole", number(row.whole) }, { "late", number(row.late) }, { "refused", number(row.refused) }, { "failed", number(row.failed) },
            { "abandoned", number(row.abandoned) }, { "tokens", number(row.tokens) } });
    }
    QJsonArray waste;
    for (const WasteRow& row : part.waste) {
        waste.append(QJsonObject { { "cause", QString::fromStdString(row.cause) }, { "stranded_ms", number(row.strandedMs) }, { "downtime_ms", number(row.downtimeMs) } });
    }
    return { { "node", QString::fromStdString(part.id.node) }, { "incarnation", number(part.id.incarnation) },
        { "updated_ms", static_cast<double>(part.updatedMs) }, { "service", service }, { "waste", waste } };
}

// Reads the fields of one object and remembers the first that is wrong.
class FieldReader {
public:
    explicit FieldReader(QJsonObject object)
        : object_(std::move(object))
    {
    }

    std::string text(const char* name)
    {
        const QJsonValue value = object_[QLatin1String(name)];
        note(value.isString() && !value.toString().isEmpty(), name);
        return value.toString().toStdString();
    }

    uint64_t count(const char* name)
    {
        constexpr double mostExact = 9007199254740992.0; // 2^53
        const QJsonValue value = object_[QLatin1String(name)];
        const double real = value.toDouble(-1);
        const bool isCount = real >= 0 && real <= mostExact && std::floor(real) == real;
        note(isCount, name);
        return isCount ? static_cast<uint64_t>(real) : 0;
    }

    QJsonArray array(const char* name)
    {
        const QJsonValue value = object_[QLatin1String(name)];
        note(value.isArray(), name);
        return value.toArray();
    }

    void take(const absl::Status& status)
    {
        if (status_.ok())
            status_ = status;
    }

    const absl::Status& status() const { return status_; }

private:
    void note(bool isRight, const char* name)
    {
        if (!isRight)
            take(absl::InvalidArgumentError(std::string("a part of the report has no proper \"") + name + "\""));
    }

    QJsonObject object_;
    absl::Status status_;
};

absl::StatusOr<ReportPart> parsePart(const QJsonObject& json)
{
    FieldReader reader(json);
    ReportPart part;
    part.id = { .node = reader.text("node"), .incarnation = reader.count("incarnation") };
    part.updatedMs = static_cast<int64_t>(reader.count("updated_ms"));
    for (const QJsonValue& value : reader.array("service")) {
        FieldReader fields(value.toObject());
        mergeRows(part.service, { ServiceRow { .caller = fields.text("caller"), .priority = fields.text("priority"), .whole = fields.count("whole"), .late = fields.count("late"), .refused = fields.count("refused"), .failed = fields.count("failed"), .abandoned = fields.count("abandoned"), .tokens = fields.count("tokens") } });
        reader.take(fields.status());
    }
    for (const QJsonValue& value : reader.array("waste")) {
        FieldReader fields(value.toObject());
        mergeRows(part.waste, { WasteRow { .cause = fields.text("cause"), .strandedMs = fields.count("stranded_ms"), .downtimeMs = fields.count("downtime_ms") } });
        reader.take(fields.status());
    }
    if (!reader.status().ok())
        return reader.status();
    return part;
}

absl::StatusOr<ReportPart> parsePart(const QByteArray& json)
{
    return parsePart(QJsonDocument::fromJson(json).object());
}

} // namespace hemlockweir
