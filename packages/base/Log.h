#pragma once

#include <glog/logging.h>
#include <initializer_list>
#include <string>
#include <string_view>

// Structured log lines: one line an event, `event=NAME key=value ...`, through glog.

namespace hemlockweir {

// One `key=value` of a log line.
struct LogField {
    std::string_view key;
    std::string value;
};

// Sends log lines to standard error with glog's prefix, those of Qt as `event=qt_message`; call
// once at the start of a program.
void startLogging(const char* programName);

// Formats an event; values with blanks or quotes are quoted and escaped.
std::string formatEvent(std::string_view event, std::initializer_list<LogField> fields);

// Logs an event that operators expect in normal running.
void logInfo(std::string_view event, std::initializer_list<LogField> fields = {});

// Logs an event that an operator may have to act on.
void logWarning(std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace hemlockweir
