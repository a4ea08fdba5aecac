#include "node/ReportStore.h"

#include "base/Log.h"
#include "report/PartJson.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>
#include <chrono>

namespace hemlockweir {

static int64_t wallTimeMs()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

ReportStore::ReportStore(ReportOptions options, FleetTable& fleet, KvClient& platform)
    : options_(std::move(options))
    , fleet_(fleet)
    , platform_(platform)
{
    connect(&publishTimer_, &QTimer::timeout, this, &ReportStore::publish);
    connect(&flushTimer_, &QTimer::timeout, this, &ReportStore::flushAll);
}

void ReportStore::start()
{
    publishTimer_.start(options_.publishInterval);
    flushTimer_.start(options_.flushInterval);
}

void ReportStore::stop(std::function<void()> done)
{
    publish();
    flushTimer_.stop();
    flush(options_.own, std::move(done));
}

void ReportStore::record(const RequestRecord& record)
{
    const int64_t now = wallTimeMs();
    counters_.count(options_.own, record, now);
    requests_.add({ .atMs = now, .record = record });
}

void ReportStore::updateWaste()
{
    if (!options_.waste)
        return;
    ReportPart part { .id = options_.own, .updatedMs = wallTimeMs(), .service = {}, .waste = options_.waste() };
    counters_.merge(part);
}

void ReportStore::observeGroups()
{
    std::vector<GroupObservation> observations;
    for (const GroupCondition& group : fleet_.groups())
        observations.push_back({ .group = group.group, .epoch = group.epoch, .model = group.model, .domain = group.domain, .members = group.members, .whole = group.whole, .reason = group.reason });
    groups_.observe(observations, wallTimeMs(), [this](const GroupObservation& group) { return goneReason(group); });
}

// Describes what each member of a group that is no longer observed does now.
std::string ReportStore::goneReason(const GroupObservation& group) const
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

void ReportStore::publish()
{
    constexpr size_t rowsPerMessage = 12; // fits targetDatagramBytes
    observeGroups();
    updateWaste();
    const ReportPart own = counters_.part(options_.own);
    Counters message { .updatedMs = own.updatedMs, .service = {}, .waste = {} };
    for (const ServiceRow& row : own.service) {
        const bool hasChanged = std::find(published_.service.begin(), published_.service.end(), row) == published_.service.end();
        if (hasChanged && message.service.size() < rowsPerMessage)
            message.service.push_back(row);
    }
    ReportPart publishedRows { .id = options_.own, .updatedMs = own.updatedMs, .service = message.service, .waste = {} };
    published_ = mergeParts(published_, publishedRows);
    // Datagrams may be lost, so each message also repeats one row, in turn.
    if (!own.service.empty())
        message.service.push_back(own.service[nextResend_++ % own.service.size()]);
    if (own.waste != published_.waste) {
        message.waste.assign(own.waste.begin(), own.waste.begin() + static_cast<std::ptrdiff_t>(std::min<size_t>(own.waste.size(), rowsPerMessage)));
        published_.waste = own.waste;
    }
    if (!message.service.empty() || !message.waste.empty())
        options_.broadcast(message);
}

void ReportStore::handleCounters(const Envelope& envelope)
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
    counters_.merge(part);
}

// Flushes this node's counters, and those of ended incarnations, which may not have written their last
// ones.
void ReportStore::flushAll()
{
    updateWaste();
    for (const ReportPart& part : counters_.parts()) {
        if (part.id == options_.own || !options_.isRunning(part.id))
            flush(part.id, [] {});
    }
}

void ReportStore::flush(const PartId& id, std::function<void()> done)
{
    const auto lastStored = stored_.find(id);
    if (lastStored != stored_.end() && mergeParts(counters_.part(id), lastStored->second) == lastStored->second) {
        done();
        return;
    }
    platform_.get(QByteArray::fromStdString(reportKey(id)), [this, id, done = std::move(done)](const absl::StatusOr<KvRange>& range) {
        if (!range.ok()) {
            done();
            return;
        }
        int64_t modRevision = 0;
        ReportPart stored { .id = id, .service = {}, .waste = {} };
        if (!range->entries.empty()) {
            modRevision = range->entries.front().modRevision;
            const absl::StatusOr<ReportPart> parsed = parsePart(range->entries.front().value);
            if (parsed.ok() && parsed->id == id)
                stored = *parsed;
        }
        write(stored, modRevision, done);
    });
}

void ReportStore::write(const ReportPart& stored, int64_t modRevision, const std::function<void()>& done)
{
    const ReportPart merged = mergeParts(counters_.part(stored.id), stored);
    if (merged == stored) {
        recordStored(merged);
        done();
        return;
    }
    const KvWrite kvWrite { .key = QByteArray::fromStdString(reportKey(stored.id)), .value = QJsonDocument(formatPart(merged)).toJson(QJsonDocument::Compact), .expectedModRevision = modRevision, .lease = 0 };
    platform_.compareAndPut(kvWrite, [this, merged, done](const absl::StatusOr<KvWriteResult>& result) {
        // After a lost answer or a concurrent write, the next flush tries again. Writing twice is harmless.
        if (result.ok() && result->applied)
            recordStored(merged);
        done();
    });
}

void ReportStore::recordStored(const ReportPart& storedPart)
{
    const bool hasEnded = storedPart.id != options_.own && !options_.isRunning(storedPart.id);
    if (!hasEnded || mergeParts(counters_.part(storedPart.id), storedPart) != storedPart) {
        stored_[storedPart.id] = storedPart;
        return;
    }
    logInfo("report_part_kept", { { "node", storedPart.id.node }, { "incarnation", std::to_string(storedPart.id.incarnation) } });
    stored_.erase(storedPart.id);
    counters_.remove(storedPart.id);
}

QJsonObject ReportStore::report() const
{
    QJsonArray parts;
    for (const ReportPart& part : counters_.parts())
        parts.append(formatPart(part));
    return { { "node", QString::fromStdString(options_.own.node) }, { "incarnation", static_cast<double>(options_.own.incarnation) },
        { "now_ms", static_cast<double>(wallTimeMs()) }, { "parts", parts } };
}

template <typename Event>
static QJsonArray formatEvents(const std::vector<Event>& events)
{
    QJsonArray array;
    for (const Event& event : events)
        array.append(formatEvent(event));
    return array;
}

QJsonObject ReportStore::explainRequest(const std::string& requestId) const
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

QJsonObject ReportStore::explainGroup(const std::string& group) const
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

QJsonObject ReportStore::explainInstance(const std::string& instance) const
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
