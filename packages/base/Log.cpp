#include "base/Log.h"

#include <QString>
#include <algorithm>
#include <array>

namespace hemlockweir {

// Qt warnings about intended use, which are not logged: a server that receives its sockets from another
// server, and request bodies that can't be rewound, so that Qt can't resend a request.
static constexpr std::array expectedQtMessages {
    "QTcpServer::nextPendingConnection() called while not listening",
    "is not listening.",
    "Cannot call seek on a sequential device",
};

static void logQtMessage(QtMsgType type, const QMessageLogContext& context, const QString& text)
{
    const std::string message = text.toStdString();
    const bool isExpected = std::any_of(expectedQtMessages.begin(), expectedQtMessages.end(), [&](const char* expected) { return message.ends_with(expected); });
    if (isExpected)
        return;
    const std::string category = context.category ? context.category : "default";
    if (type == QtDebugMsg || type == QtInfoMsg)
        logInfo("qt_message", { { "category", category }, { "text", message } });
    else
        logWarning("qt_message", { { "category", category }, { "text", message } });
}

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
    qInstallMessageHandler(logQtMessage);
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
