#pragma once

#include "report/CounterTable.h"

#include <QByteArray>
#include <QJsonObject>
#include <absl/status/statusor.h>

// JSON format of the parts of the shared report, on the platform and in answers from nodes.

namespace hemlockweir {

// Prefix of the platform keys of all parts, and the key of one part.
inline constexpr char reportPrefix[] = "/hemlockweir/report/";
std::string reportKey(const PartId& id);

// Write and read one part as JSON. Parsing returns InvalidArgument with the name of the first field
// that is missing or invalid.
QJsonObject formatPart(const ReportPart& part);
absl::StatusOr<ReportPart> parsePart(const QJsonObject& json);
absl::StatusOr<ReportPart> parsePart(const QByteArray& json);

} // namespace hemlockweir
