#include "node/CompletionReply.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <utility>

namespace hemlockweir {

CompletionReply::CompletionReply(Exchange& exchange, std::string requestId, const CompletionRequest& completion)
    : exchange_(exchange)
    , requestId_(std::move(requestId))
    , completion_(completion)
{
}

QJsonObject CompletionReply::makeChunk(const QString& text, const QJsonValue& finishReason) const
{
    QJsonObject choice { { "index", 0 }, { "finish_reason", finishReason } };
    if (completion_.isChat)
        choice["delta"] = text.isEmpty() ? QJsonObject() : QJsonObject { { "content", text } };
    else
        choice["text"] = text;
    return {
        { "id", QString::fromStdString(requestId_) },
        { "object", completion_.isChat ? "chat.completion.chunk" : "text_completion" },
        { "model", QString::fromStdString(completion_.model) },
        { "choices", QJsonArray { choice } },
    };
}

QByteArray CompletionReply::makeCompleteBody(const QString& finishReason, uint32_t tokens) const
{
    QJsonObject choice { { "index", 0 }, { "finish_reason", finishReason } };
    if (completion_.isChat)
        choice["message"] = QJsonObject { { "role", "assistant" }, { "content", text_ } };
    else
        choice["text"] = text_;
    const QJsonObject completeBody {
        { "id", QString::fromStdString(requestId_) },
        { "object", completion_.isChat ? "chat.completion" : "text_completion" },
        { "model", QString::fromStdString(completion_.model) },
        { "choices", QJsonArray { choice } },
        { "usage", QJsonObject { { "completion_tokens", static_cast<int>(tokens) } } },
    };
    return QJsonDocument(completeBody).toJson(QJsonDocument::Compact);
}

void CompletionReply::addToken(const QString& text)
{
    text_ += text;
    if (!completion_.isStreamed)
        return;
    if (!exchange_.isStreaming())
        exchange_.startStream("text/event-stream", { { "X-Request-Id", QByteArray::fromStdString(requestId_) } });
    exchange_.sendEvent(QJsonDocument(makeChunk(text, QJsonValue())).toJson(QJsonDocument::Compact));
}

void CompletionReply::finish(const QString& finishReason, const QByteArray& completeBody)
{
    if (!completion_.isStreamed) {
        exchange_.sendBytes(200, "application/json", completeBody, { { "X-Request-Id", QByteArray::fromStdString(requestId_) } });
        return;
    }
    exchange_.startStream("text/event-stream");
    exchange_.sendEvent(QJsonDocument(makeChunk({}, finishReason)).toJson(QJsonDocument::Compact));
    exchange_.sendEvent("[DONE]");
    exchange_.finishStream();
}

} // namespace hemlockweir
