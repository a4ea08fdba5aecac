#pragma once

#include "http/HttpServer.h"
#include "node/CompletionRequest.h"

// Answers the caller of a model request, token by token or completeBody, as its API has it.

namespace hemlockweir {

class CompletionReply {
public:
    // The exchange and the request outlive the reply.
    CompletionReply(Exchange& exchange, std::string requestId, const CompletionRequest& completion);

    // Adds the next token; a streamed answer passes it on at once.
    void addToken(const QString& text);

    // The answer in one piece, also the one that is kept for a streamed request.
    QByteArray makeCompleteBody(const QString& finishReason, uint32_t tokens) const;

    // Ends the stream, or sends the completeBody answer.
    void finish(const QString& finishReason, const QByteArray& completeBody);

private:
    QJsonObject makeChunk(const QString& text, const QJsonValue& finishReason) const;

    Exchange& exchange_;
    std::string requestId_;
    const CompletionRequest& completion_;
    QString text_; // so far
};

} // namespace hemlockweir
