#include "report/ReportView.h"

#include <QJsonArray>
#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>

namespace hemlockweir {

static constexpr double msPerSecond = 1000.0;
static constexpr double percent = 100.0;

static void add(ServiceRow& sum, const ServiceRow& row)
{
    sum.whole += row.whole;
    sum.late += row.late;
    sum.refused += row.refused;
    sum.failed += row.failed;
    sum.abandoned += row.abandoned;
    sum.tokens += row.tokens;
}

template <typename Row>
static std::vector<Row> valuesOf(const std::map<std::string, Row>& rows)
{
    std::vector<Row> values;
    values.reserve(rows.size());
    for (const auto& [name, row] : rows)
        values.push_back(row);
    return values;
}

ReportTotals sumParts(const std::vector<ReportPart>& parts)
{
    std::map<std::string, ServiceRow> byPriority;
    std::map<std::string, ServiceRow> byCaller;
    std::map<std::string, WasteRow> byCause;
    for (const ReportPart& part : parts) {
        for (const ServiceRow& row : part.service) {
            byPriority[row.priority].priority = row.priority;
            add(byPriority[row.priority], row);
            byCaller[row.caller].caller = row.caller;
            add(byCaller[row.caller], row);
        }
        for (const WasteRow& row : part.waste) {
            WasteRow& sum = byCause[row.cause];
            sum.cause = row.cause;
            sum.strandedMs += row.strandedMs;
            sum.downtimeMs += row.downtimeMs;
        }
    }
    return { .byPriority = valuesOf(byPriority), .byCaller = valuesOf(byCaller), .byCause = valuesOf(byCause) };
}

uint64_t totalRequests(const ServiceRow& row)
{
    return row.whole + row.late + row.refused + row.failed + row.abandoned;
}

static std::string nameOf(const ServiceRow& row)
{
    return row.caller.empty() ? row.priority : row.caller;
}

static double onTimePercent(const ServiceRow& row)
{
    const uint64_t total = totalRequests(row);
    return total == 0 ? 0.0 : percent * static_cast<double>(row.whole) / static_cast<double>(total);
}

static double ageSeconds(const ReportInput& input, const ReportPart& part)
{
    return static_cast<double>(std::max<int64_t>(0, input.nowMs - part.updatedMs)) / msPerSecond;
}

static void printService(std::ostream& out, const std::string& title, const std::vector<ServiceRow>& rows)
{
    constexpr int nameWidth = 24;
    constexpr int width = 11;
    out << std::left << std::setw(nameWidth) << title << std::right;
    for (const char* header : { "asked", "on time", "on time %", "late", "refused", "failed", "abandoned", "tokens" })
        out << std::setw(width) << header;
    out << '\n';
    for (const ServiceRow& row : rows) {
        out << std::left << std::setw(nameWidth) << nameOf(row) << std::right << std::setw(width) << totalRequests(row) << std::setw(width) << row.whole
            << std::setw(width) << std::fixed << std::setprecision(1) << onTimePercent(row);
        for (const uint64_t value : { row.late, row.refused, row.failed, row.abandoned, row.tokens })
            out << std::setw(width) << value;
        out << '\n';
    }
    out << '\n';
}

std::string formatReportText(const ReportInput& input)
{
    constexpr int nameWidth = 24;
    constexpr int width = 26;
    const ReportTotals totals = sumParts(input.parts);
    std::ostringstream out;
    printService(out, "priority", totals.byPriority);
    printService(out, "caller", totals.byCaller);
    out << std::left << std::setw(nameWidth) << "cause" << std::right << std::setw(width) << "stranded accelerator-s" << std::setw(width) << "group downtime s" << '\n';
    for (const WasteRow& row : totals.byCause)
        out << std::left << std::setw(nameWidth) << row.cause << std::right << std::setw(width) << static_cast<double>(row.strandedMs) / msPerSecond << std::setw(width) << static_cast<double>(row.downtimeMs) / msPerSecond << '\n';
    if (totals.byCause.empty())
        out << "(no node reported waste)\n";
    out << "\nfigures of:\n";
    for (const ReportPart& part : input.parts)
        out << "  " << part.id.node << " incarnation " << part.id.incarnation << ", " << ageSeconds(input, part) << " s old\n";
    for (const ReportSource& source : input.sources) {
        if (!source.error.empty())
            out << "NOT HEARD FROM: " << source.name << ": " << source.error << '\n';
    }
    return out.str();
}

static QJsonArray formatRows(const std::vector<ServiceRow>& rows)
{
    QJsonArray array;
    for (const ServiceRow& row : rows) {
        array.append(QJsonObject { { "name", QString::fromStdString(nameOf(row)) }, { "asked", static_cast<double>(totalRequests(row)) },
            { "whole", static_cast<double>(row.whole) }, { "late", static_cast<double>(row.late) }, { "refused", static_cast<double>(row.refused) },
            { "failed", static_cast<double>(row.failed) }, { "abandoned", static_cast<double>(row.abandoned) }, { "tokens", static_cast<double>(row.tokens) } });
    }
    return array;
}

QJsonObject formatReportJson(const ReportInput& input)
{
    const ReportTotals totals = sumParts(input.parts);
    QJsonArray waste;
    for (const WasteRow& row : totals.byCause)
        waste.append(QJsonObject { { "cause", QString::fromStdString(row.cause) }, { "stranded_ms", static_cast<double>(row.strandedMs) }, { "downtime_ms", static_cast<double>(row.downtimeMs) } });
    QJsonArray parts;
    for (const ReportPart& part : input.parts)
        parts.append(QJsonObject { { "node", QString::fromStdString(part.id.node) }, { "incarnation", static_cast<double>(part.id.incarnation) }, { "age_s", ageSeconds(input, part) } });
    QJsonArray missing;
    for (const ReportSource& source : input.sources) {
        if (!source.error.empty())
            missing.append(QJsonObject { { "source", QString::fromStdString(source.name) }, { "error", QString::fromStdString(source.error) } });
    }
    return { { "by_priority", formatRows(totals.byPriority) }, { "by_caller", formatRows(totals.byCaller) }, { "waste", waste },
        { "parts", parts }, { "not_heard_from", missing } };
}

static std::string escapeHtml(const std::string& text)
{
    return QString::fromStdString(text).toHtmlEscaped().toStdString();
}

namespace {

    // One coloured segment of a stacked bar.
    struct BarSegment {
        const char* name;
        const char* colour;
        uint64_t value;
    };

} // namespace

static std::array<BarSegment, 5> segmentsOf(const ServiceRow& row)
{
    return { { { "on time", "#2e7d32", row.whole }, { "late", "#f9a825", row.late }, { "refused", "#9e9e9e", row.refused }, { "failed", "#c62828", row.failed }, { "abandoned", "#6a8caf", row.abandoned } } };
}

// Draws one stacked bar per row. The length of a segment is its fraction of the row's requests.
static void plotService(std::ostream& out, const std::string& title, const std::vector<ServiceRow>& rows)
{
    constexpr int rowHeight = 26;
    constexpr int labelWidth = 220;
    constexpr double barWidth = 560;
    out << "<h2>Requests by " << title << "</h2>\n<svg width=\"960\" height=\"" << (rows.size() + 1) * rowHeight << "\" role=\"img\">\n";
    int y = 0;
    for (const ServiceRow& row : rows) {
        out << "<text x=\"0\" y=\"" << y + 17 << "\">" << escapeHtml(nameOf(row)) << "</text>\n";
        double x = labelWidth;
        for (const BarSegment& segment : segmentsOf(row)) {
            const double length = totalRequests(row) == 0 ? 0 : barWidth * static_cast<double>(segment.value) / static_cast<double>(totalRequests(row));
            out << "<rect x=\"" << x << "\" y=\"" << y + 3 << "\" width=\"" << length << "\" height=\"18\" fill=\"" << segment.colour << "\"><title>" << segment.name << ": " << segment.value << "</title></rect>\n";
            x += length;
        }
        out << "<text x=\"" << labelWidth + barWidth + 10 << "\" y=\"" << y + 17 << "\">" << std::fixed << std::setprecision(1) << onTimePercent(row) << "% of " << totalRequests(row) << " on time</text>\n";
        y += rowHeight;
    }
    out << "</svg>\n<p>";
    for (const BarSegment& segment : segmentsOf({}))
        out << "<span style=\"color:" << segment.colour << "\">&#9632;</span> " << segment.name << " ";
    out << "</p>\n";
}

static void plotWaste(std::ostream& out, const std::vector<WasteRow>& rows)
{
    constexpr int rowHeight = 26;
    constexpr int labelWidth = 220;
    constexpr double barWidth = 560;
    uint64_t maxStranded = 1;
    for (const WasteRow& row : rows)
        maxStranded = std::max(maxStranded, row.strandedMs);
    out << "<h2>Stranded accelerators by cause</h2>\n<svg width=\"960\" height=\"" << (rows.size() + 1) * rowHeight << "\" role=\"img\">\n";
    int y = 0;
    for (const WasteRow& row : rows) {
        const double length = barWidth * static_cast<double>(row.strandedMs) / static_cast<double>(maxStranded);
        out << "<text x=\"0\" y=\"" << y + 17 << "\">" << escapeHtml(row.cause) << "</text><rect x=\"" << labelWidth << "\" y=\"" << y + 3 << "\" width=\"" << length
            << "\" height=\"18\" fill=\"#c62828\"/><text x=\"" << labelWidth + length + 8 << "\" y=\"" << y + 17 << "\">" << static_cast<double>(row.strandedMs) / msPerSecond
            << " accelerator-s, groups down " << static_cast<double>(row.downtimeMs) / msPerSecond << " s</text>\n";
        y += rowHeight;
    }
    out << "</svg>\n";
}

std::string formatReportHtml(const ReportInput& input)
{
    const ReportTotals totals = sumParts(input.parts);
    std::ostringstream out;
    out << "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>hemlockweir report</title>\n"
           "<style>body{font-family:sans-serif;margin:2em}svg text{font-size:13px}</style></head><body>\n<h1>Service levels and wasted accelerators</h1>\n";
    plotService(out, "priority", totals.byPriority);
    plotService(out, "caller", totals.byCaller);
    plotWaste(out, totals.byCause);
    out << "<h2>Figures</h2>\n<pre>" << escapeHtml(formatReportText(input)) << "</pre>\n</body></html>\n";
    return out.str();
}

} // namespace hemlockweir
