#pragma once

#include "http/EventStream.h"

#include <QJsonObject>
#include <QString>
#include <cstdint>
#include <string>

// One attempt's answer as an engine streams it. Takes the pieces that are the attempt's own, in
// order and each once, and tells when one is missing: then nothing more is taken.

namespace hemlockweir {

class AnswerStream {
public:
    struct Options {
        std::string runId; // a piece of another run or attempt is never passed on
        uint32_t attempt = 0;
        uint32_t receivedTokens = 0; // tokens that earlier attempts gave
        std::function<void(const QString& text, bool isFirst)> onToken; // isFirst: of this attempt
        std::function<void(const char* reason)> onFailure; // at most once
    };

    explicit AnswerStream(Options options);

    // Takes the next bytes from the engine.
    void feed(const QByteArray& bytes);

    // Takes nothing more.
    void close() { closed_ = true; }

    // Why the engine ended the answer; empty while it did not, or its count is not what arrived.
    const QString& finishReason() const { return finishReason_; }

    // Whether the engine began anew instead of resuming.
    bool hasRestarted() const { return hasRestarted_; }

private:
    void handleEvent(const QByteArray& data);
    void handleToken(const QJsonObject& event);
    void handleFinish(const QJsonObject& event);
    void fail(const char* reason);

    Options options_;
    EventStream events_;
    uint32_t receivedTokens_; // tokens in order, over all attempts
    QString finishReason_;
    bool hasReceivedToken_ = false; // this attempt gave one
    bool closed_ = false;
    bool hasRestarted_ = false;
};

} // namespace hemlockweir
