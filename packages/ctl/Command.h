#pragma once

#include "base/Clock.h"

#include <absl/status/status.h>
#include <ostream>
#include <string>
#include <vector>

// The commands of hemlockctl. programs/hemlockctl.cpp parses the command line, finds the command and
// runs it. Related commands share a source file.

namespace hemlockweir {

// Exit codes of hemlockctl. The help text lists them.
enum class ExitCode {
    Ok = 0,
    Failed = 1, // error in a file, request refused, or nothing found
    Usage = 2, // invalid command line
    Conflict = 3, // another publish or operator came first (nothing was written), or replaced this publish
    Unreachable = 4, // the platform or a node did not respond
};

// The parsed command line, and the streams for the output.
struct CommandLine {
    std::vector<std::string> arguments; // arguments after the name of the command
    std::string platform; // http://ADDRESS:PORT
    std::vector<std::string> nodes; // http://ADDRESS:PORT or https://ADDRESS:PORT each
    int64_t baseRevision = -1; // revision that a publish replaces; -1: not given
    bool json = false; // print one JSON document instead of text
    std::string operatorKey;
    std::string by; // author, shown to other operators
    std::string reason; // reason of a drain, shown to other operators
    std::string group;
    std::string instance;
    std::string htmlFile;
    std::ostream& out;
    std::ostream& err;
};

// A command of hemlockctl.
struct Command {
    const char* name;
    const char* summary; // one line
    const char* help; // usage, description and examples
    ExitCode (*run)(const CommandLine&);
};

// Returns all commands in the order of the help text.
const std::vector<Command>& allCommands();

// Prints an error, as JSON with --json, and returns the exit code for its status code.
ExitCode reportFailure(const CommandLine& line, const absl::Status& status);

// Prints an error, as JSON with --json, and returns ExitCode::Usage.
ExitCode reportUsageError(const CommandLine& line, const std::string& message);

// The implementations of the commands.
ExitCode runValidate(const CommandLine& line);
ExitCode runPublish(const CommandLine& line);
ExitCode runShow(const CommandLine& line);
ExitCode runStatus(const CommandLine& line);
ExitCode runDrain(const CommandLine& line);
ExitCode runUndrain(const CommandLine& line);
ExitCode runReport(const CommandLine& line);
ExitCode runExplain(const CommandLine& line);

} // namespace hemlockweir
