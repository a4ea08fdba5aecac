// hemlockctl, the command line tool for operators. Parses the command line and runs the command.

#include "config/TomlReader.h"
#include "ctl/Command.h"
#include "ctl/Remote.h"

#include <QCoreApplication>
#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <iomanip>
#include <iostream>

namespace options = boost::program_options;
using namespace hemlockweir;

static options::options_description describeOptions()
{
    options::options_description description("Options");
    description.add_options()("help,h", "explain a command, with examples")("platform", options::value<std::string>()->default_value(""), "http://ADDRESS:PORT of the platform's key-value service")(
        "node", options::value<std::vector<std::string>>()->default_value({}, ""), "http://ADDRESS:PORT or https://ADDRESS:PORT of a node; may be repeated")("base", options::value<int64_t>()->default_value(-1, "any"), "revision that the publish replaces")(
        "json", options::bool_switch(), "print one JSON document")("by", options::value<std::string>()->default_value("", "$USER"), "author, shown to other operators")("reason", options::value<std::string>()->default_value(""), "reason, shown to other operators")(
        "group", options::value<std::string>()->default_value(""), "id of a group")("instance", options::value<std::string>()->default_value(""), "id of an instance")("html", options::value<std::string>()->default_value(""), "output file for the report as an HTML page")(
        "operator-key-file", options::value<std::string>()->default_value("", "$HEMLOCKWEIR_OPERATOR_KEY"), "file that contains the operator key of the nodes")("ca-file", options::value<std::string>()->default_value("", "the system's"), "PEM file with the CA certificates that sign the certificates of the nodes");
    return description;
}

static void printUsage(std::ostream& out)
{
    out << "Usage: hemlockctl COMMAND [options]\n\n";
    for (const Command& command : allCommands())
        out << "  " << std::left << std::setw(10) << command.name << command.summary << '\n';
    out << "\n`hemlockctl COMMAND --help` explains a command, with examples.\n\n"
        << describeOptions()
        << "\nExit codes: 0 success, 1 refused or not found, 2 invalid command line, 3 conflict with another\n"
           "operator, 4 the platform or a node did not respond.\n";
}

static std::string readEnvironment(const char* name)
{
    const char* value = std::getenv(name);
    return value ? value : "";
}

// Reads the operator key from a file or the environment. It is never passed on the command line,
// which other processes can read.
static absl::StatusOr<std::string> readOperatorKey(const std::string& file)
{
    if (file.empty())
        return readEnvironment("HEMLOCKWEIR_OPERATOR_KEY");
    absl::StatusOr<std::string> text = readTextFile(file);
    if (text.ok())
        text->erase(text->find_last_not_of(" \t\r\n") + 1);
    return text;
}

static CommandLine makeCommandLine(const options::variables_map& values)
{
    CommandLine line { .platform = values["platform"].as<std::string>(),
        .nodes = values["node"].as<std::vector<std::string>>(),
        .baseRevision = values["base"].as<int64_t>(),
        .json = values["json"].as<bool>(),
        .by = values["by"].as<std::string>(),
        .reason = values["reason"].as<std::string>(),
        .group = values["group"].as<std::string>(),
        .instance = values["instance"].as<std::string>(),
        .htmlFile = values["html"].as<std::string>(),
        .out = std::cout,
        .err = std::cerr };
    line.arguments = values["arguments"].as<std::vector<std::string>>();
    if (line.by.empty())
        line.by = readEnvironment("USER");
    return line;
}

static absl::Status checkUrls(const CommandLine& line)
{
    if (!line.platform.empty()) {
        if (absl::Status status = checkServerUrl("--platform", line.platform, { "http" }); !status.ok())
            return status;
    }
    for (const std::string& node : line.nodes) {
        if (absl::Status status = checkServerUrl("--node", node, { "http", "https" }); !status.ok())
            return status;
    }
    return absl::OkStatus();
}

static ExitCode run(CommandLine line, const options::variables_map& values)
{
    if (line.arguments.empty()) {
        printUsage(values.count("help") > 0 ? std::cout : std::cerr);
        return values.count("help") > 0 ? ExitCode::Ok : ExitCode::Usage;
    }
    const std::vector<Command>& commands = allCommands();
    const auto command = std::find_if(commands.begin(), commands.end(), [&](const Command& candidate) { return line.arguments.front() == candidate.name; });
    if (command == commands.end())
        return reportUsageError(line, "unknown command '" + line.arguments.front() + "'; `hemlockctl --help` lists the commands");
    if (values.count("help") > 0) {
        std::cout << command->help;
        return ExitCode::Ok;
    }
    line.arguments.erase(line.arguments.begin());
    if (const absl::Status status = checkUrls(line); !status.ok())
        return reportUsageError(line, std::string(status.message()));
    if (const std::string caFile = values["ca-file"].as<std::string>(); !caFile.empty()) {
        if (const absl::Status status = trustCertificates(caFile); !status.ok())
            return reportUsageError(line, std::string(status.message()));
    }
    const absl::StatusOr<std::string> key = readOperatorKey(values["operator-key-file"].as<std::string>());
    if (!key.ok())
        return reportFailure(line, key.status());
    line.operatorKey = *key;
    return command->run(line);
}

int main(int argc, char** argv)
{
    options::options_description allOptions = describeOptions();
    allOptions.add_options()("arguments", options::value<std::vector<std::string>>()->default_value({}, ""), "command and files");
    options::positional_options_description positional;
    positional.add("arguments", -1);
    options::variables_map values;
    try {
        options::store(options::command_line_parser(argc, argv).options(allOptions).positional(positional).run(), values);
    } catch (const options::error& error) {
        std::cerr << error.what() << "; `hemlockctl --help` lists the options\n";
        return static_cast<int>(ExitCode::Usage);
    }
    // Discards Qt's own warnings, such as about a POST request that it must not send again. The errors of
    // the calls contain the same information.
    qInstallMessageHandler([](QtMsgType, const QMessageLogContext&, const QString&) {});
    QCoreApplication application(argc, argv);
    return static_cast<int>(run(makeCommandLine(values), values));
}
