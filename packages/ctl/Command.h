#pragma once

#include "base/Clock.h"

#include <absl/status/status.h>
#include <ostream>
#include <string>
#include <vector>

// The commands of hemlockctl. Each stands in a file of its own and takes what the command line
// said; programs/hemlockctl.cpp finds the command and runs it.

namespace hemlockweir {

// How hemlockctl ends.
enum class ExitCode {
    Ok = 0,
    Failed = 1, // the answer is no: a mistake in a file, a refusal, nothing found
    Usage = 2, // the command line is wrong
    Conflict = 3, // another publish or operator came first; nothing was written
    Unreachable = 4, // the platform or a node gave no answer
};

// What the command line said, and where the answer goes.
struct CommandLine {
    std::vector<std::string> arguments; // after the command's name
    std::string platform; // http://ADDRESS:PORT
    std::vector<std::string> nodes; // http://ADDRESS:PORT each
    int64_t baseRevision = -1; // -1: not given
    bool json = false; // print one JSON document instead of text
    std::string operatorKey;
    std::string by; // who is at work, as others will read it
    std::string reason;
    std::string group;
    std::string instance;
    std::string htmlFile;
    std::ostream& out;
    std::ostream& err;
};

// One command.
struct Command {
    const char* name;
    const char* summary; // one line
    const char* help; // usage, what it does, examples
    ExitCode (*run)(const CommandLine&);
};

// All commands, in the order of the help text.
const std::vector<Command>& allCommands();

// Prints an error (as JSON if asked for) and returns the exit code that fits its kind.
ExitCode reportFailure(const CommandLine& line, const absl::Status& status);

// Prints a usage error.
ExitCode reportUsageError(const CommandLine& line, const std::string& message);

// The commands themselves.
ExitCode runValidate(const CommandLine& line);
ExitCode runPublish(const CommandLine& line);
ExitCode runShow(const CommandLine& line);
ExitCode runStatus(const CommandLine& line);
ExitCode runDrain(const CommandLine& line);
ExitCode runUndrain(const CommandLine& line);
ExitCode runReport(const CommandLine& line);
ExitCode runExplain(const CommandLine& line);

} // namespace hemlockweir
