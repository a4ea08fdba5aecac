// The command explain.

#include "ctl/Remote.h"

namespace hemlockweir {

namespace {

    // The subject of the query, as sent to /operator/explain.
    struct Subject {
        QString kind; // "request", "group" or "instance"
        std::string name;
    };

} // namespace

static std::string text(const QJsonValue& value)
{
    return value.toString().toStdString();
}

static std::string joinNames(const QJsonArray& names)
{
    std::string joined;
    for (const QJsonValue& name : names)
        joined += (joined.empty() ? "" : ", ") + text(name);
    return joined;
}

static void printRequestEvent(const CommandLine& line, const QJsonObject& event)
{
    line.out << formatTime(event["at_ms"].toDouble()) << " " << text(event["end"]) << ", caller " << text(event["caller"]) << ", priority " << text(event["priority"])
             << ", sent to " << event["attempts"].toInt() << " endpoints, " << event["tokens"].toInt() << " tokens, " << event["total_ms"].toInt() << " ms\n";
    if (!text(event["reason"]).empty())
        line.out << "  because " << text(event["reason"]) << " (outcome " << text(event["outcome"]) << ")\n";
}

static void printGroupEvent(const CommandLine& line, const QJsonObject& event)
{
    line.out << formatTime(event["at_ms"].toDouble()) << " group " << text(event["group"]) << " epoch " << static_cast<int64_t>(event["epoch"].toDouble())
             << " " << text(event["what"]) << ", members " << joinNames(event["members"].toArray());
    if (!text(event["reason"]).empty())
        line.out << ", because " << text(event["reason"]);
    line.out << '\n';
}

static void printInstance(const CommandLine& line, const QJsonObject& view)
{
    const QJsonObject report = view["report"].toObject();
    line.out << "  " << text(view["instance"]) << " at " << text(view["address"]) << ": listed as " << text(view["listed"]) << ", ";
    if (report.isEmpty())
        line.out << "no status report\n";
    else
        line.out << "reports " << text(report["state"]) << (text(report["group"]).empty() ? "" : " in group " + text(report["group"])) << '\n';
}

static void printExplanation(const CommandLine& line, const std::string& node, const Subject& subject, const QJsonObject& answer)
{
    line.out << "recorded by " << node << ":\n";
    if (subject.kind == "group")
        line.out << "now: " << (!answer["known"].toBool() ? "no such group" : answer["whole"].toBool() ? "whole"
                                                                                                       : "down, " + text(answer["reason"]))
                 << '\n';
    for (const QJsonValue& member : answer["members"].toArray())
        printInstance(line, member.toObject());
    if (answer.contains("view"))
        printInstance(line, answer["view"].toObject());
    for (const QJsonValue& event : answer["events"].toArray()) {
        if (subject.kind == "request")
            printRequestEvent(line, event.toObject());
        else
            printGroupEvent(line, event.toObject());
    }
}

static Subject readSubject(const CommandLine& line)
{
    if (!line.group.empty())
        return { .kind = "group", .name = line.group };
    if (!line.instance.empty())
        return { .kind = "instance", .name = line.instance };
    return { .kind = "request", .name = line.arguments.empty() ? "" : line.arguments.front() };
}

ExitCode runExplain(const CommandLine& line)
{
    const Subject subject = readSubject(line);
    if (subject.name.empty() || line.nodes.empty())
        return reportUsageError(line, "specify a request id, --group or --instance, and at least one --node URL; see hemlockctl explain --help");
    QJsonArray answers;
    ExitCode failure = ExitCode::Ok;
    bool isFound = false;
    for (const std::string& node : line.nodes) {
        const absl::StatusOr<QJsonObject> answer = queryNode(line, node, "/operator/explain", subject.kind, subject.name);
        if (!answer.ok()) {
            failure = reportFailure(line, answer.status());
            continue;
        }
        const bool hasAnswer = (*answer)["known"].toBool() || !(*answer)["events"].toArray().isEmpty();
        isFound = isFound || hasAnswer;
        answers.append(*answer);
        if (hasAnswer && !line.json)
            printExplanation(line, node, subject, *answer);
    }
    if (line.json)
        printJson(line, { { "answers", answers } });
    if (isFound)
        return ExitCode::Ok;
    if (failure != ExitCode::Ok)
        return failure;
    return reportFailure(line, absl::NotFoundError("none of the queried nodes has a record of the " + subject.kind.toStdString() + " " + subject.name));
}

} // namespace hemlockweir
