#pragma once

#include "report/CounterTable.h"

#include <QJsonObject>

// Sums the parts of many nodes and formats the shared report as a text table, JSON or an HTML page.

namespace hemlockweir {

// A source that was queried for parts, and its error if the query failed.
struct ReportSource {
    std::string name; // "platform" or a node's URL
    std::string error; // empty if it answered

    auto operator<=>(const ReportSource&) const = default;
};

// Input of a report.
struct ReportInput {
    std::vector<ReportPart> parts; // merged, one for each incarnation
    std::vector<ReportSource> sources;
    int64_t nowMs = 0; // wall time, ms since the Unix epoch
};

// Sums over all parts. Rows are sorted by name.
struct ReportTotals {
    std::vector<ServiceRow> byPriority; // `caller` is empty
    std::vector<ServiceRow> byCaller; // `priority` is empty
    std::vector<WasteRow> byCause;

    auto operator<=>(const ReportTotals&) const = default;
};

ReportTotals sumParts(const std::vector<ReportPart>& parts);

// Returns the number of requests in a row, with any outcome.
uint64_t totalRequests(const ServiceRow& row);

std::string formatReportText(const ReportInput& input);
QJsonObject formatReportJson(const ReportInput& input);

// Returns a self-contained HTML page with charts.
std::string formatReportHtml(const ReportInput& input);

} // namespace hemlockweir
