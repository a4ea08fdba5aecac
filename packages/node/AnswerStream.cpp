#include "node/AnswerStream.h"

#include <QJsonDocument>
#include <utility>

namespace hemlockweir {

AnswerStream::AnswerStream(Options options)
    : options_(std::move(options))
    , events_([this](const QByteArray& data) { takeEvent(data); })
    , received_(options_.received)
{
}

void AnswerStream::feed(const QByteArray& bytes)
{
    if (!closed_ && !events_.feed(bytes))
        breakOff("an event of the stream is over the limit");
}

void AnswerStream::takeEvent(const QByteArray& data)
{
    if (closed_)
        return;
    const QJsonObject event = QJsonDocument::fromJson(data).object();
    const bool isOurs = event["run_id"].toString().toStdString() == options_.runId && event["attempt"].toInt() == static_cast<int>(options_.attempt);
    if (!isOurs)
        return;
    if (event.contains("finish_reason")) {
        takeFinish(event);
        return;
    }
    const int index = event["index"].toInt(-1);
    if (index == static_cast<int>(received_)) {
        takeToken(event);
    } else if (index > static_cast<int>(received_)) {
        breakOff("a token is missing");
    } else if (!hasToken_) {
        // What was sent already must not be followed by the tokens of another generation.
        beganAnew_ = true;
        breakOff("the engine began anew instead of resuming");
    }
}

void AnswerStream::takeToken(const QJsonObject& event)
{
    ++received_;
    const bool isFirst = !std::exchange(hasToken_, true);
    options_.onToken(event["text"].toString(), isFirst);
}

void AnswerStream::takeFinish(const QJsonObject& event)
{
    if (event["tokens"].toInt(-1) == static_cast<int>(received_))
        finishReason_ = event["finish_reason"].toString();
    else
        breakOff("the engine counts other tokens than arrived");
}

void AnswerStream::breakOff(const char* why)
{
    if (!std::exchange(closed_, true))
        options_.onBroken(why);
}

} // namespace hemlockweir
