#pragma once

#include "http/EventStream.h"

#include <QJsonObject>
#include <QString>
#include <cstdint>
#include <string>

// Decodes the answer that an engine streams for one attempt. Ignores events of other runs and
// attempts, delivers each token once and in order, and fails if a token is missing. After a failure
// it ignores all further bytes.

namespace hemlockweir {

class AnswerStream {
public:
    struct Options {
        std::string runId; // events with another run id or attempt are ignored
        uint32_t attempt = 0;
        uint32_t receivedTokens = 0; // number of tokens received by earlier attempts
        std::function<void(const QString& text, bool isFirst)> onToken; // isFirst: first token of this attempt
        std::function<void(const char* reason)> onFailure; // called at most once
    };

    explicit AnswerStream(Options options);

    // Decodes the next bytes from the engine.
    void feed(const QByteArray& bytes);

    // Ignores all further bytes.
    void close() { closed_ = true; }

    // Returns the engine's finish reason. Empty until the engine has finished the answer, and if its
    // token count differs from the number of received tokens.
    const QString& finishReason() const { return finishReason_; }

    // Returns whether the engine restarted the answer instead of resuming it.
    bool hasRestarted() const { return hasRestarted_; }

private:
    void handleEvent(const QByteArray& data);
    void handleToken(const QJsonObject& event);
    void handleFinish(const QJsonObject& event);
    void fail(const char* reason);

    Options options_;
    EventStream events_;
    uint32_t receivedTokens_; // number of tokens in order, over all attempts
    QString finishReason_;
    bool hasReceivedToken_ = false; // in this attempt
    bool closed_ = false;
    bool hasRestarted_ = false;
};

} // namespace hemlockweir
