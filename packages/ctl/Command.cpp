#include "ctl/Command.h"

#include <QJsonDocument>
#include <QJsonObject>

namespace hemlockweir {

static constexpr char validateHelp[] = R"(Usage: hemlockctl validate FILE... [--json]

Checks service files as `publish` does and lists every mistake with file and line. Sends nothing
over the network.

  hemlockctl validate quotes/service.toml orders/service.toml
)";

static constexpr char publishHelp[] = R"(Usage: hemlockctl publish FILE... --platform URL [--base REVISION] [--by NAME] [--json]

Merges the files into one configuration and puts it in force on all nodes, as a whole or not at all.
Pass the files of all services every time: a service whose file is missing is removed. With --base,
the publish is refused (exit code 3) if another one came after that revision; the error names it.

  hemlockctl show --platform http://10.0.0.2:2379            # prints the revision, say 41
  hemlockctl publish */service.toml --platform http://10.0.0.2:2379 --base 41
)";

static constexpr char showHelp[] = R"(Usage: hemlockctl show --platform URL [--json]

Prints the configuration in force with its revision, publication id, author and time.

  hemlockctl show --platform http://10.0.0.2:2379
  hemlockctl show --platform http://10.0.0.2:2379 --json | jq .configuration.models
)";

static constexpr char statusHelp[] = R"(Usage: hemlockctl status --node URL [--node URL...] [--json]

Prints the state of each node: its revision, its peers and every group, with a reason if the group
is not whole. Exit code 4 if a node does not respond; the other nodes are still printed.

  hemlockctl status --node http://10.0.1.4:8080 --node http://10.0.2.4:8080
)";

static constexpr char drainHelp[] = R"(Usage: hemlockctl drain INSTANCE --platform URL --reason TEXT [--by NAME] [--json]

Marks an instance for a planned stop: it gets no new requests, its running requests finish, and its
group is formed again without it. Undo with `hemlockctl undrain`.

  hemlockctl drain engine-17 --platform http://10.0.0.2:2379 --reason "replace fan"
)";

static constexpr char undrainHelp[] = R"(Usage: hemlockctl undrain INSTANCE --platform URL [--json]

Cancels a drain. Exit code 1 if the instance was not drained.

  hemlockctl undrain engine-17 --platform http://10.0.0.2:2379
)";

static constexpr char reportHelp[] = R"(Usage: hemlockctl report [--platform URL] [--node URL...] [--json | --html FILE]

Prints the shared report: service levels by priority and caller, and wasted accelerator time by
cause. Reads the platform and the given nodes, merges their copies without counting any twice, and
prints the age of each part and the sources that did not respond. --html writes a page with plots.

  hemlockctl report --platform http://10.0.0.2:2379 --node http://10.0.1.4:8080
  hemlockctl report --platform http://10.0.0.2:2379 --html report.html
)";

static constexpr char explainHelp[] = R"(Usage: hemlockctl explain REQUEST-ID --node URL [--node URL...] [--json]
       hemlockctl explain --group GROUP --node URL [--node URL...] [--json]
       hemlockctl explain --instance INSTANCE --node URL [--node URL...] [--json]

Explains why a request was refused or failed, why a group is down, or why an instance is idle, from
the recent events that the nodes store. The request id is in the X-Request-Id header of every
response and in every error. Exit code 1 if no node has a record of it.

  hemlockctl explain 5f2a81c09b3d7e64 --node http://10.0.1.4:8080
  hemlockctl explain --group g-12 --node http://10.0.1.4:8080
)";

const std::vector<Command>& allCommands()
{
    static const std::vector<Command> commands {
        { "validate", "check service files", validateHelp, runValidate },
        { "publish", "put service files in force", publishHelp, runPublish },
        { "show", "print the configuration in force", showHelp, runShow },
        { "status", "print the state of nodes", statusHelp, runStatus },
        { "drain", "take an instance out of service for a planned stop", drainHelp, runDrain },
        { "undrain", "cancel a drain", undrainHelp, runUndrain },
        { "report", "print service levels and wasted accelerator time", reportHelp, runReport },
        { "explain", "explain the outcome of a request or the state of a group or instance", explainHelp, runExplain },
    };
    return commands;
}

static ExitCode exitCodeFor(const absl::Status& status)
{
    if (absl::IsAborted(status))
        return ExitCode::Conflict;
    if (absl::IsUnavailable(status) || absl::IsUnknown(status) || absl::IsDeadlineExceeded(status))
        return ExitCode::Unreachable;
    return status.ok() ? ExitCode::Ok : ExitCode::Failed;
}

static void printError(const CommandLine& line, ExitCode code, const std::string& message)
{
    if (line.json)
        line.err << QJsonDocument(QJsonObject { { "error", QString::fromStdString(message) }, { "exit_code", static_cast<int>(code) } }).toJson(QJsonDocument::Compact).toStdString() << '\n';
    else
        line.err << message << '\n';
}

ExitCode reportFailure(const CommandLine& line, const absl::Status& status)
{
    const ExitCode code = exitCodeFor(status);
    printError(line, code, std::string(status.message()));
    return code;
}

ExitCode reportUsageError(const CommandLine& line, const std::string& message)
{
    printError(line, ExitCode::Usage, message);
    return ExitCode::Usage;
}

} // namespace hemlockweir
