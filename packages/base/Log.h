#pragma once

#include <glog/logging.h>
#include <initializer_list>
#include <string>
#include <string_view>

// Structured logging through glog: one line per event, `event=NAME key=value ...`.

namespace hemlockweir {

// One `key=value` pair of a log line.
struct LogField {
    std::string_view key;
    std::string value;
};

// Initializes glog to log to standard error, with its line prefix, and logs Qt's messages as
// `event=qt_message`. Call once at program start.
void startLogging(const char* programName);

// Returns the log line of an event. Empty values and values with whitespace, quotes, backslashes or `=` are
// quoted and escaped.
std::string formatEvent(std::string_view event, std::initializer_list<LogField> fields);

// Logs an event of normal operation.
void logInfo(std::string_view event, std::initializer_list<LogField> fields = {});

// Logs an event that may require action by an operator.
void logWarning(std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace hemlockweir
