#include "base/Log.h"

namespace hemlockweir {

static std::string quoteValue(const std::string& value)
{
    if (!value.empty() && value.find_first_of(" \"\\\n\r\t=") == std::string::npos)
        return value;
    std::string quoted = "\"";
    for (char c : value) {
        if (c == '\n' || c == '\r') {
            quoted += "\\n";
            continue;
        }
        if (c == '"' || c == '\\')
            quoted += '\\';
        quoted += c;
    }
    return quoted + '"';
}

void startLogging(const char* programName)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(programName);
}

std::string formatEvent(std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = "event=" + std::string(event);
    for (const LogField& field : fields)
        line += ' ' + std::string(field.key) + '=' + quoteValue(field.value);
    return line;
}

void logInfo(std::string_view event, std::initializer_list<LogField> fields)
{
    LOG(INFO) << formatEvent(event, fields);
}

void logWarning(std::string_view event, std::initializer_list<LogField> fields)
{
    LOG(WARNING) << formatEvent(event, fields);
}

} // namespace hemlockweir
