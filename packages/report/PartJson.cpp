#include "report/PartJson.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <cmath>

namespace hemlockweir {

std::string reportKey(const PartId& id)
{
    return reportPrefix + id.node + "/" + std::to_string(id.incarnation);
}

// JSON numbers are doubles, which represent integers exactly up to 2^53.
static double toJsonNumber(uint64_t value)
{
    return static_cast<double>(value);
}

QJsonObject formatPart(const ReportPart& part)
{
    QJsonArray service;
    for (const ServiceRow& row : part.service) {
        service.append(QJsonObject { { "caller", QString::fromStdString(row.caller) }, { "priority", QString::fromStdString(row.priority) },
            { "whole", toJsonNumber(row.whole) }, { "late", toJsonNumber(row.late) }, { "refused", toJsonNumber(row.refused) }, { "failed", toJsonNumber(row.failed) },
            { "abandoned", toJsonNumber(row.abandoned) }, { "tokens", toJsonNumber(row.tokens) } });
    }
    QJsonArray waste;
    for (const WasteRow& row : part.waste) {
        waste.append(QJsonObject { { "cause", QString::fromStdString(row.cause) }, { "stranded_ms", toJsonNumber(row.strandedMs) }, { "downtime_ms", toJsonNumber(row.downtimeMs) } });
    }
    return { { "node", QString::fromStdString(part.id.node) }, { "incarnation", toJsonNumber(part.id.incarnation) },
        { "updated_ms", static_cast<double>(part.updatedMs) }, { "service", service }, { "waste", waste } };
}

namespace {

    // Reads the fields of one object and stores an error for the first invalid one.
    class PartFields {
    public:
        explicit PartFields(QJsonObject object)
            : object_(std::move(object))
        {
        }

        std::string text(const char* name)
        {
            const QJsonValue value = object_[QLatin1String(name)];
            check(value.isString() && !value.toString().isEmpty(), name);
            return value.toString().toStdString();
        }

        uint64_t count(const char* name)
        {
            constexpr double maxExact = 9007199254740992.0; // 2^53
            const QJsonValue value = object_[QLatin1String(name)];
            const double number = value.toDouble(-1);
            const bool isCount = number >= 0 && number <= maxExact && std::floor(number) == number;
            check(isCount, name);
            return isCount ? static_cast<uint64_t>(number) : 0;
        }

        QJsonArray array(const char* name)
        {
            const QJsonValue value = object_[QLatin1String(name)];
            check(value.isArray(), name);
            return value.toArray();
        }

        void update(const absl::Status& status)
        {
            if (status_.ok())
                status_ = status;
        }

        const absl::Status& status() const { return status_; }

    private:
        void check(bool isValid, const char* name)
        {
            if (!isValid)
                update(absl::InvalidArgumentError(std::string("report part has a missing or invalid field \"") + name + "\""));
        }

        QJsonObject object_;
        absl::Status status_;
    };

} // namespace

absl::StatusOr<ReportPart> parsePart(const QJsonObject& json)
{
    PartFields reader(json);
    ReportPart part;
    part.id = { .node = reader.text("node"), .incarnation = reader.count("incarnation") };
    part.updatedMs = static_cast<int64_t>(reader.count("updated_ms"));
    for (const QJsonValue& value : reader.array("service")) {
        PartFields fields(value.toObject());
        part = mergeParts(part, { .id = part.id, .updatedMs = 0, .service = { ServiceRow { .caller = fields.text("caller"), .priority = fields.text("priority"), .whole = fields.count("whole"), .late = fields.count("late"), .refused = fields.count("refused"), .failed = fields.count("failed"), .abandoned = fields.count("abandoned"), .tokens = fields.count("tokens") } }, .waste = {} });
        reader.update(fields.status());
    }
    for (const QJsonValue& value : reader.array("waste")) {
        PartFields fields(value.toObject());
        part = mergeParts(part, { .id = part.id, .updatedMs = 0, .service = {}, .waste = { WasteRow { .cause = fields.text("cause"), .strandedMs = fields.count("stranded_ms"), .downtimeMs = fields.count("downtime_ms") } } });
        reader.update(fields.status());
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
