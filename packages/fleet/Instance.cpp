#include "fleet/Instance.h"

#include <QJsonArray>
#include <QJsonDocument>

namespace hemlockweir {

static std::string readString(const QJsonObject& object, const char* key)
{
    return object[QLatin1String(key)].toString().toStdString();
}

std::string stateName(EngineState state)
{
    switch (state) {
    case EngineState::Idle:
        return "idle";
    case EngineState::Loading:
        return "loading";
    case EngineState::Ready:
        return "ready";
    case EngineState::Broken:
        return "broken";
    }
    return "broken";
}

bool InstanceStatus::isInGroupOf(const InstanceStatus& other) const
{
    return group == other.group && epoch == other.epoch && model == other.model && members == other.members;
}

bool equalsIgnoringLoad(const InstanceStatus& a, const InstanceStatus& b)
{
    return a.id == b.id && a.incarnation == b.incarnation && a.state == b.state && a.isInGroupOf(b) && a.slots == b.slots && a.leaving == b.leaving;
}

static EngineState parseState(const std::string& name)
{
    for (const EngineState state : { EngineState::Idle, EngineState::Loading, EngineState::Ready }) {
        if (name == stateName(state))
            return state;
    }
    return EngineState::Broken;
}

absl::StatusOr<std::vector<Instance>> parseInstances(const QByteArray& json)
{
    const QJsonDocument document = QJsonDocument::fromJson(json);
    if (!document.isObject() || !document.object()["instances"].isArray())
        return absl::InvalidArgumentError("the instance list is not {\"instances\": [...]}");
    std::vector<Instance> instances;
    for (const QJsonValue& value : document.object()["instances"].toArray()) {
        const QJsonObject object = value.toObject();
        instances.push_back({
            .id = readString(object, "id"),
            .address = readString(object, "address"),
            .domain = readString(object, "domain"),
            .fabric = readString(object, "fabric"),
            .pool = readString(object, "pool"),
            .leaving = readString(object, "state") == "leaving",
        });
    }
    return instances;
}

absl::StatusOr<InstanceStatus> parseInstanceStatus(const QByteArray& json)
{
    const QJsonDocument document = QJsonDocument::fromJson(json);
    if (!document.isObject())
        return absl::InvalidArgumentError("the instance status is not a JSON object");
    const QJsonObject object = document.object();
    InstanceStatus status {
        .id = readString(object, "id"),
        .incarnation = readString(object, "incarnation"),
        .state = parseState(readString(object, "state")),
        .group = readString(object, "group"),
        .epoch = static_cast<uint64_t>(object["epoch"].toDouble()),
        .model = readString(object, "model"),
        .members = {},
        .running = static_cast<uint32_t>(object["running"].toInt()),
        .waiting = static_cast<uint32_t>(object["waiting"].toInt()),
        .slots = static_cast<uint32_t>(object["slots"].toInt()),
        .leaving = object["leaving"].toBool(),
        .stepMs = object["step_ms"].toDouble(),
    };
    for (const QJsonValue& member : object["members"].toArray())
        status.members.push_back(member.toString().toStdString());
    return status;
}

QJsonObject formatInstanceStatus(const InstanceStatus& status)
{
    QJsonArray members;
    for (const std::string& member : status.members)
        members.append(QString::fromStdString(member));
    return {
        { "id", QString::fromStdString(status.id) },
        { "incarnation", QString::fromStdString(status.incarnation) },
        { "state", QString::fromStdString(stateName(status.state)) },
        { "group", QString::fromStdString(status.group) },
        { "epoch", static_cast<double>(status.epoch) },
        { "model", QString::fromStdString(status.model) },
        { "members", members },
        { "running", static_cast<int>(status.running) },
        { "waiting", static_cast<int>(status.waiting) },
        { "slots", static_cast<int>(status.slots) },
        { "leaving", status.leaving },
        { "step_ms", status.stepMs },
    };
}

} // namespace hemlockweir
