#pragma once

#include "report/CounterTable.h"

#include <QJsonObject>

// The shared report as people read it: parts of many nodes added up, as a table, JSON or a page.

namespace hemlockweir {

// Where figures were asked for, and whether they came.
struct ReportSource {
    std::string name; // "platform" or a node's URL
    std::string error; // empty when it answered

    auto operator<=>(const ReportSource&) const = default;
};

// Everything that a report is made from.
struct ReportInput {
    std::vector<ReportPart> parts; // each incarnation once, merged
    std::vector<ReportSource> sources;
    int64_t nowMs = 0; // wall time, ms since the epoch
};

// Sums over parts; rows are sorted by name.
struct ReportTotals {
    std::vector<ServiceRow> byPriority; // `caller` is empty
    std::vector<ServiceRow> byCaller; // `priority` is empty
    std::vector<WasteRow> byCause;

    auto operator<=>(const ReportTotals&) const = default;
};

ReportTotals sumParts(const std::vector<ReportPart>& parts);

// Requests of a row, however they ended.
uint64_t totalRequests(const ServiceRow& row);

std::string formatReportText(const ReportInput& input);
QJsonObject formatReportJson(const ReportInput& input);

// One page with plots that needs no other file.
std::string formatReportHtml(const ReportInput& input);

} // namespace hemlockweir
