#pragma once

#include <QByteArray>
#include <QJsonObject>
#include <absl/status/statusor.h>
#include <string>

// The body of a model request, checked.

namespace hemlockweir {

// What /v1/completions and /v1/chat/completions ask for.
struct CompletionRequest {
    QJsonObject body; // as sent, passed on to the engine
    std::string model;
    bool isChat = false;
    bool isStreamed = false;
    uint32_t maxTokens = 128;
};

// Reads the body of a model request; InvalidArgument says what to write instead.
absl::StatusOr<CompletionRequest> parseCompletionRequest(const QByteArray& body, bool isChat);

// The prompt or the messages, as prefix affinity compares them.
QByteArray promptOf(const CompletionRequest& completion);

} // namespace hemlockweir
