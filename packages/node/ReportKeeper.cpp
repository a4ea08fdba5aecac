#include "node/ReportKeeper.h"

#include "base/Log.h"
#include "report/PartJson.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>
#include <chrono>

namespace hemlockweir {

static int64_t wallMs()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

ReportKeeper::ReportKeeper(ReportOptions options, FleetTable& fleet, KvClient& platform)
    : options_(std::move(options))
    , fleet_(fleet)
    , platform_(platform)
{
    connect(&shareTimer_, &QTimer::timeout, this, &ReportKeeper::share);
    connect(&flushTimer_, &QTimer::timeout, this, &ReportKeeper::flushAll);
}

void ReportKeeper::start()
{
    shareTimer_.start(options_.shareInterval);
    flushTimer_.start(options_.flushInterval);
}

void ReportKeeper::stop(std::function<void()> done)
{
    share();
    flushTimer_.stop();
    flush(options_.own, std::move(done));
}

void ReportKeeper::record(const RequestRecord& record)
{
    const int64_t now = wallMs();
    table_.count(options_.own, record, now);
    requests_.add({ .atMs = now, .record = record });
}

void ReportKeeper::countWaste()
{
    if (!options_.waste)
        return;
    ReportPart part { .id = options_.own, .updatedMs = wallMs(), .service = {}, .waste = options_.waste() };
    table_.merge(part);
}

void ReportKeeper::observeGroups()
{
    std::vector<GroupObservation> sightings;
    for (const GroupCondition& group : fleet_.groups())
        sightings.push_back({ .group = group.group, .epoch = group.epoch, .model = group.model, .domain = group.domain, .members = group.members, .whole = group.whole, .reason = group.reason });
    groups_.observe(sightings, wallMs(), [this](const GroupObservation& group) { return whyGone(group); });
}

// What each member of a group that is seen no more does now.
std::string ReportKeeper::whyGone(const GroupObservation& group) const
{
    std::string reasons;
    const std::vector<InstanceView> views = fleet_.instances();
    for (const std::string& member : group.members) {
        const auto view = std::find_if(views.begin(), views.end(), [&](const InstanceView& candidate) { return candidate.instance.id == member; });
        std::string reason;
        if (view == views.end())
            reason = "is no longer listed";
        else if (!view->status || options_.clock() - view->polledAt > options_.freshness)
            reason = "gives no report";
        else if (view->status->group != group.group)
            reason = view->status->group.empty() ? "left it and is idle" : "left it for group " + view->status->group;
        else
            reason = "reports " + stateName(view->status->state);
        reasons.append(reasons.empty() ? "" : "; ").append(member).append(" ").append(reason);
    }
    return reasons;
}

void ReportKeeper::share()
{
    constexpr size_t rowsPerMessage = 12; // fits targetDatagramBytes
    observeGroups();
    countWaste();
    const ReportPart own = table_.part(options_.own);
    Counters message { .updatedMs = own.updatedMs, .service = {}, .waste = {} };
    for (const ServiceRow& row : own.service) {
        const bool isNew = std::find(shared_.service.begin(), shared_.service.end(), row) == shared_.service.end();
        if (isNew && message.service.size() < rowsPerMessage)
            message.service.push_back(row);
    }
    ReportPart told { .id = options_.own, .updatedMs = own.updatedMs, .service = message.service, .waste = {} };
    shared_ = mergeParts(shared_, told);
    // A datagram may be lost: one old row is told again each time.
    if (!own.service.empty())
        message.service.push_back(own.service[nextRepeat_++ % own.service.size()]);
    if (own.waste != shared_.waste) {
        message.waste.assign(own.waste.begin(), own.waste.begin() + static_cast<std::ptrdiff_t>(std::min<size_t>(own.waste.size(), rowsPerMessage)));
        shared_.waste = own.waste;
    }
    if (!message.service.empty() || !message.waste.empty())
        options_.broadcast(message);
}

void ReportKeeper::takeCounters(const Envelope& envelope)
{
    const absl::StatusOr<Counters> counters = decodeBody<Counters>(envelope.body);
    if (!counters.ok())
        return;
    const PartId id { .node = envelope.sender.node, .incarnation = envelope.sender.incarnation };
    ReportPart part { .id = id, .updatedMs = counters->updatedMs, .service = {}, .waste = {} };
    for (const ServiceRow& row : counters->service)
        part = mergeParts(part, { .id = id, .updatedMs = 0, .service = { row }, .waste = {} });
    for (const WasteRow& row : counters->waste)
        part = mergeParts(part, { .id = id, .updatedMs = 0, .service = {}, .waste = { row } });
    table_.merge(part);
}

// Own figures, and those of incarnations that run no more and may not have written their last.
void ReportKeeper::flushAll()
{
    countWaste();
    for (const ReportPart& part : table_.parts()) {
        if (part.id == options_.own || !options_.isRunning(part.id))
            flush(part.id, [] {});
    }
}

void ReportKeeper::flush(const PartId& id, std::function<void()> done)
{
    const auto known = kept_.find(id);
    if (known != kept_.end() && mergeParts(table_.part(id), known->second) == known->second) {
        done();
        return;
    }
    platform_.get(QByteArray::fromStdString(reportKey(id)), [this, id, done = std::move(done)](const absl::StatusOr<KvRange>& range) {
        if (!range.ok()) {
            done();
            return;
        }
        int64_t modRevision = 0;
        ReportPart kept { .id = id, .service = {}, .waste = {} };
        if (!range->entries.empty()) {
            modRevision = range->entries.front().modRevision;
            const absl::StatusOr<ReportPart> parsed = parsePart(range->entries.front().value);
            if (parsed.ok() && parsed->id == id)
                kept = *parsed;
        }
        write(kept, modRevision, done);
    });
}

void ReportKeeper::write(const ReportPart& kept, int64_t modRevision, const std::function<void()>& done)
{
    const ReportPart merged = mergeParts(table_.part(kept.id), kept);
    if (merged == kept) {
        settle(merged);
        done();
        return;
    }
    const KvWrite step { .key = QByteArray::fromStdString(reportKey(kept.id)), .value = QJsonDocument(formatPart(merged)).toJson(QJsonDocument::Compact), .expectedModRevision = modRevision, .lease = 0 };
    platform_.compareAndPut(step, [this, merged, done](const absl::StatusOr<KvWriteResult>& result) {
        // A lost answer or a lost race is met again at the next flush; writing twice changes nothing.
        if (result.ok() && result->applied)
            settle(merged);
        done();
    });
}

void ReportKeeper::settle(const ReportPart& written)
{
    const bool isOver = written.id != options_.own && !options_.isRunning(written.id);
    if (!isOver || mergeParts(table_.part(written.id), written) != written) {
        kept_[written.id] = written;
        return;
    }
    logInfo("report_part_kept", { { "node", written.id.node }, { "incarnation", std::to_string(written.id.incarnation) } });
    kept_.erase(written.id);
    table_.remove(written.id);
}

QJsonObject ReportKeeper::report() const
{
    QJsonArray parts;
    for (const ReportPart& part : table_.parts())
        parts.append(formatPart(part));
    return { { "node", QString::fromStdString(options_.own.node) }, { "incarnation", static_cast<double>(options_.own.incarnation) },
        { "now_ms", static_cast<double>(wallMs()) }, { "parts", parts } };
}

template <typename Event>
static QJsonArray formatEvents(const std::vector<Event>& events)
{
    QJsonArray array;
    for (const Event& event : events)
        array.append(formatEvent(event));
    return array;
}

QJsonObject ReportKeeper::explainRequest(const std::string& requestId) const
{
    return { { "request", QString::fromStdString(requestId) }, { "events", formatEvents(requests_.find(requestId)) } };
}

static QJsonObject describeInstance(const InstanceView& view)
{
    QJsonObject object { { "instance", QString::fromStdString(view.instance.id) }, { "address", QString::fromStdString(view.instance.address) },
        { "domain", QString::fromStdString(view.instance.domain) }, { "fabric", QString::fromStdString(view.instance.fabric) },
        { "pool", QString::fromStdString(view.instance.pool) }, { "listed", view.instance.leaving ? "leaving" : "live" } };
    if (view.status)
        object["report"] = formatInstanceStatus(*view.status);
    return object;
}

QJsonObject ReportKeeper::explainGroup(const std::string& group) const
{
    QJsonObject answer { { "group", QString::fromStdString(group) }, { "known", false }, { "events", formatEvents(groups_.findGroup(group)) } };
    QJsonArray members;
    for (const GroupCondition& condition : fleet_.groups()) {
        if (condition.group != group)
            continue;
        answer["known"] = true;
        answer["whole"] = condition.whole;
        answer["reason"] = QString::fromStdString(condition.reason);
        for (const InstanceView& view : fleet_.instances()) {
            if (std::find(condition.members.begin(), condition.members.end(), view.instance.id) != condition.members.end())
                members.append(describeInstance(view));
        }
    }
    answer["members"] = members;
    return answer;
}

QJsonObject ReportKeeper::explainInstance(const std::string& instance) const
{
    QJsonObject answer { { "instance", QString::fromStdString(instance) }, { "known", false }, { "events", formatEvents(groups_.findInstance(instance)) } };
    for (const InstanceView& view : fleet_.instances()) {
        if (view.instance.id != instance)
            continue;
        answer["known"] = true;
        answer["view"] = describeInstance(view);
    }
    return answer;
}

} // namespace hemlockweir
