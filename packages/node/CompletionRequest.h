#pragma once

#include <QByteArray>
#include <QJsonObject>
#include <absl/status/statusor.h>
#include <string>

// Parses and validates the bodies of model requests.

namespace hemlockweir {

// A request to /v1/completions or /v1/chat/completions.
struct CompletionRequest {
    QJsonObject body; // as sent; forwarded to the engine
    std::string model;
    bool isChat = false;
    bool isStreamed = false;
    uint32_t maxTokens = 128;
};

// Parses the body of a model request. The message of an InvalidArgument error names the valid values.
absl::StatusOr<CompletionRequest> parseCompletionRequest(const QByteArray& body, bool isChat);

// Returns the prompt or the messages, as prefix affinity compares them.
QByteArray promptOf(const CompletionRequest& completion);

} // namespace hemlockweir
