// The command report.

#include "ctl/Remote.h"
#include "report/PartJson.h"
#include "report/ReportView.h"

#include <QDateTime>
#include <fstream>

namespace hemlockweir {

// Merges a part into the table, or stores the reason why it cannot be read in `source`.
static void mergePart(const absl::StatusOr<ReportPart>& part, const std::string& where, CounterTable& table, ReportSource& source)
{
    if (part.ok())
        table.merge(*part);
    else
        source.error = where + std::string(part.status().message());
}

static ReportSource readPlatform(const CommandLine& line, CounterTable& table)
{
    ReportSource source { .name = "platform", .error = {} };
    KvClient platform(makePlatformOptions(line));
    const absl::StatusOr<KvRange> range = readPrefix(platform, reportPrefix);
    if (!range.ok()) {
        source.error = std::string(range.status().message());
        return source;
    }
    for (const KvEntry& entry : range->entries)
        mergePart(parsePart(entry.value), entry.key.toStdString() + ": ", table, source);
    return source;
}

static ReportSource readNode(const CommandLine& line, const std::string& node, CounterTable& table)
{
    ReportSource source { .name = node, .error = {} };
    const absl::StatusOr<QJsonObject> answer = queryNode(line, node, "/operator/report");
    if (!answer.ok()) {
        source.error = std::string(answer.status().message());
        return source;
    }
    for (const QJsonValue& value : (*answer)["parts"].toArray())
        mergePart(parsePart(value.toObject()), {}, table, source);
    return source;
}

static ExitCode writePage(const CommandLine& line, const ReportInput& input)
{
    std::ofstream file(line.htmlFile, std::ios::binary);
    file << formatReportHtml(input);
    file.close();
    if (!file)
        return reportFailure(line, absl::InternalError("cannot write " + line.htmlFile));
    line.out << "wrote " << line.htmlFile << '\n';
    return ExitCode::Ok;
}

ExitCode runReport(const CommandLine& line)
{
    if (line.platform.empty() && line.nodes.empty())
        return reportUsageError(line, "specify --platform URL, --node URL or both; see hemlockctl report --help");
    CounterTable table;
    ReportInput input { .parts = {}, .sources = {}, .nowMs = QDateTime::currentMSecsSinceEpoch() };
    if (!line.platform.empty())
        input.sources.push_back(readPlatform(line, table));
    for (const std::string& node : line.nodes)
        input.sources.push_back(readNode(line, node, table));
    input.parts = table.parts();
    ExitCode code = ExitCode::Ok;
    if (!line.htmlFile.empty())
        code = writePage(line, input);
    else if (line.json)
        printJson(line, formatReportJson(input));
    else
        line.out << formatReportText(input);
    const bool isPartial = std::any_of(input.sources.begin(), input.sources.end(), [](const ReportSource& source) { return !source.error.empty(); });
    return code == ExitCode::Ok && isPartial ? ExitCode::Unreachable : code;
}

} // namespace hemlockweir
