#include "node/AnswerStream.h"

#include <QJsonDocument>
#include <utility>

namespace hemlockweir {

AnswerStream::AnswerStream(Options options)
    : options_(std::move(options))
    , events_([this](const QByteArray& data) { handleEvent(data); })
    , receivedTokens_(options_.receivedTokens)
{
}

void AnswerStream::feed(const QByteArray& bytes)
{
    if (!closed_ && !events_.feed(bytes))
        fail("an event of the stream exceeds the size limit");
}

void AnswerStream::handleEvent(const QByteArray& data)
{
    if (closed_)
        return;
    const QJsonObject event = QJsonDocument::fromJson(data).object();
    const bool belongsToAttempt = event["run_id"].toString().toStdString() == options_.runId && event["attempt"].toInt() == static_cast<int>(options_.attempt);
    if (!belongsToAttempt)
        return;
    if (event.contains("finish_reason")) {
        handleFinish(event);
        return;
    }
    const int index = event["index"].toInt(-1);
    if (index == static_cast<int>(receivedTokens_)) {
        handleToken(event);
    } else if (index > static_cast<int>(receivedTokens_)) {
        fail("a token is missing");
    } else if (!hasReceivedToken_) {
        // Tokens of a new generation must not follow the tokens that the caller already received.
        hasRestarted_ = true;
        fail("the engine restarted the answer instead of resuming it");
    }
}

void AnswerStream::handleToken(const QJsonObject& event)
{
    ++receivedTokens_;
    const bool isFirst = !std::exchange(hasReceivedToken_, true);
    options_.onToken(event["text"].toString(), isFirst);
}

void AnswerStream::handleFinish(const QJsonObject& event)
{
    if (event["tokens"].toInt(-1) == static_cast<int>(receivedTokens_))
        finishReason_ = event["finish_reason"].toString();
    else
        fail("the engine's token count differs from the number of tokens received");
}

void AnswerStream::fail(const char* reason)
{
    if (!std::exchange(closed_, true))
        options_.onFailure(reason);
}

} // namespace hemlockweir
