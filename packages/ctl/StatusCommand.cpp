// The command status.

#include "ctl/Remote.h"

namespace hemlockweir {

static std::string text(const QJsonValue& value)
{
    return value.toString().toStdString();
}

static void printNode(const CommandLine& line, const QJsonObject& status)
{
    line.out << "node " << text(status["node"]) << " in domain " << text(status["domain"]) << ": revision " << static_cast<int64_t>(status["revision"].toDouble())
             << ", " << (status["ready"].toBool() ? "ready" : "not ready") << ", " << status["waiting"].toInt() << " waiting\n";
    for (const QJsonValue& value : status["peers"].toArray()) {
        const QJsonObject peer = value.toObject();
        line.out << "  peer " << text(peer["node"]) << " in " << text(peer["domain"]) << ": "
                 << (peer["leaving"].toBool() ? "leaving" : peer["alive"].toBool() ? "alive"
                                                                                   : "silent")
                 << ", revision " << static_cast<int64_t>(peer["revision"].toDouble()) << '\n';
    }
    for (const QJsonValue& value : status["groups"].toArray()) {
        const QJsonObject group = value.toObject();
        line.out << "  group " << text(group["group"]) << " of " << text(group["model"]) << " in " << text(group["domain"]) << ": "
                 << (group["whole"].toBool() ? "whole" : "down, " + text(group["reason"])) << '\n';
    }
}

ExitCode runStatus(const CommandLine& line)
{
    if (line.nodes.empty())
        return reportUsageError(line, "specify at least one --node URL; see hemlockctl status --help");
    ExitCode code = ExitCode::Ok;
    QJsonArray answers;
    for (const std::string& node : line.nodes) {
        const absl::StatusOr<QJsonObject> status = queryNode(line, node, "/operator/status");
        if (!status.ok())
            code = reportFailure(line, status.status());
        else if (line.json)
            answers.append(*status);
        else
            printNode(line, *status);
    }
    if (line.json)
        printJson(line, { { "nodes", answers } });
    return code;
}

} // namespace hemlockweir
