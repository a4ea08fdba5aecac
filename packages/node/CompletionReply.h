#pragma once

#include "http/HttpServer.h"
#include "node/CompletionRequest.h"

// Sends the answer to the caller of a model request, as a stream of tokens or as one complete body, in
// the format of the requested API.

namespace hemlockweir {

class CompletionReply {
public:
    // The exchange and the request must outlive the reply.
    CompletionReply(Exchange& exchange, std::string requestId, const CompletionRequest& completion);

    // Appends the next token. A streamed answer sends it immediately.
    void addToken(const QString& text);

    // Returns the complete answer. It is also stored under the claim of a streamed request.
    QByteArray makeCompleteBody(const QString& finishReason, uint32_t tokens) const;

    // Ends the stream, or sends the complete answer.
    void finish(const QString& finishReason, const QByteArray& completeBody);

private:
    QJsonObject makeChunk(const QString& text, const QJsonValue& finishReason) const;

    Exchange& exchange_;
    std::string requestId_;
    const CompletionRequest& completion_;
    QString text_; // all tokens so far
};

} // namespace hemlockweir
