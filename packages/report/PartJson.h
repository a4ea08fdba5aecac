#pragma once

#include "report/CounterTable.h"

#include <QByteArray>
#include <QJsonObject>
#include <absl/status/statusor.h>

// Parts of the shared report as they stand on the platform and in nodes' answers.

namespace hemlockweir {

// The platform's key of a part begins so.
inline constexpr char reportPrefix[] = "/hemlockweir/report/";
std::string reportKey(const PartId& id);

// Writes and reads one part as JSON; InvalidArgument names what is wrong.
QJsonObject formatPart(const ReportPart& part);
absl::StatusOr<ReportPart> parsePart(const QJsonObject& json);
absl::StatusOr<ReportPart> parsePart(const QByteArray& json);

} // namespace hemlockweir
