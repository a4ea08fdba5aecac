#include "node/ErrorReply.h"

#include <QJsonDocument>

namespace hemlockweir {

std::string outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::NotRun:
        return "not_run";
    case Outcome::Ran:
        return "run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

QJsonObject formatError(const ErrorReply& error)
{
    return { { "error",
        QJsonObject {
            { "message", QString::fromStdString(error.message) },
            { "type", QString::fromStdString(error.type) },
            { "outcome", QString::fromStdString(outcomeName(error.outcome)) },
            { "request_id", QString::fromStdString(error.requestId) },
        } } };
}

void sendError(Exchange& exchange, const ErrorReply& error)
{
    if (exchange.isStreaming()) {
        exchange.sendEvent(QJsonDocument(formatError(error)).toJson(QJsonDocument::Compact));
        exchange.finishStream();
        return;
    }
    std::vector<HttpHeader> headers { { "X-Request-Id", QByteArray::fromStdString(error.requestId) } };
    constexpr int msPerSecond = 1000;
    if (error.retryAfter.count() > 0)
        headers.push_back({ "Retry-After", QByteArray::number((error.retryAfter.count() + msPerSecond - 1) / msPerSecond) });
    exchange.sendJson(error.status, formatError(error), headers);
}

} // namespace hemlockweir
