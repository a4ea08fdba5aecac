#include "node/CompletionRequest.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <cmath>

namespace hemlockweir {

static constexpr uint32_t defaultMaxTokens = 128; // if a request has no max_tokens
static constexpr double maxTokensLimit = 1000000;
static constexpr double maxSeed = 9007199254740992.0; // 2^53, up to which JSON numbers are exact

static bool isIntegerInRange(const QJsonValue& value, double min, double max)
{
    return value.isDouble() && value.toDouble() >= min && value.toDouble() <= max && std::floor(value.toDouble()) == value.toDouble();
}

absl::StatusOr<CompletionRequest> parseCompletionRequest(const QByteArray& body, bool isChat)
{
    QJsonParseError error {};
    const QJsonDocument document = QJsonDocument::fromJson(body, &error);
    if (!document.isObject())
        return absl::InvalidArgumentError("the body is not a JSON object: " + error.errorString().toStdString());
    const QJsonObject object = document.object();
    if (!object["model"].isString() || object["model"].toString().isEmpty())
        return absl::InvalidArgumentError("\"model\" is required and is a string");
    if (isChat && !object["messages"].isArray())
        return absl::InvalidArgumentError("\"messages\" is required and is an array");
    if (!isChat && !object["prompt"].isString())
        return absl::InvalidArgumentError("\"prompt\" is required and is a string");
    if (object.contains("stream") && !object["stream"].isBool())
        return absl::InvalidArgumentError("\"stream\" takes true or false");
    if (object.contains("seed") && !isIntegerInRange(object["seed"], 0, maxSeed))
        return absl::InvalidArgumentError("\"seed\" takes a whole number from 0 to 2^53");
    if (object.contains("max_tokens") && !isIntegerInRange(object["max_tokens"], 1, maxTokensLimit))
        return absl::InvalidArgumentError("\"max_tokens\" takes a whole number from 1 to 1000000");
    CompletionRequest request { .body = object, .model = object["model"].toString().toStdString(), .isChat = isChat, .isStreamed = object["stream"].toBool(), .maxTokens = defaultMaxTokens };
    if (object.contains("max_tokens"))
        request.maxTokens = static_cast<uint32_t>(object["max_tokens"].toInt());
    return request;
}

QByteArray promptOf(const CompletionRequest& completion)
{
    if (completion.isChat)
        return QJsonDocument(completion.body["messages"].toArray()).toJson(QJsonDocument::Compact);
    return completion.body["prompt"].toString().toUtf8();
}

} // namespace hemlockweir
