#pragma once

#include "ctl/Command.h"
#include "platform/KvClient.h"

#include <QEventLoop>
#include <optional>

// Calls of a command to the platform and to nodes: each waits for its answer.

namespace hemlockweir {

// Starts a call with the given starter and runs the event loop until its callback came.
template <typename T>
absl::StatusOr<T> await(const std::function<void(Callback<T>)>& start)
{
    QEventLoop loop;
    std::optional<absl::StatusOr<T>> answer;
    start([&](absl::StatusOr<T> result) {
        answer = std::move(result);
        loop.quit();
    });
    if (!answer)
        loop.exec();
    return *answer;
}

// The platform named by --platform.
KvClient::Options makePlatformOptions(const CommandLine& line);

// Reads one key or all keys with a prefix. Unavailable when the platform gives no answer.
absl::StatusOr<KvRange> readKey(KvClient& platform, const std::string& key);
absl::StatusOr<KvRange> readPrefix(KvClient& platform, const std::string& prefix);

// Asks a node for JSON with the operator key. Unavailable when it gives no answer,
// PermissionDenied when it refuses the key.
absl::StatusOr<QJsonObject> queryNode(const CommandLine& line, const std::string& node, const QString& path,
    const QString& queryName = {}, const std::string& queryValue = {});

// Returns a usage error unless the text is SCHEME://ADDRESS:PORT with one of the schemes and an IP
// number.
absl::Status checkServerUrl(const std::string& option, const std::string& text, const std::vector<std::string>& schemes);

// Trusts the authorities of a PEM file, and no others, in all calls from now on.
absl::Status trustCertificates(const std::string& file);

// Prints a JSON document.
void printJson(const CommandLine& line, const QJsonObject& object);

// Writes a wall time in milliseconds as text, such as 2026-01-31T12:00:00Z.
std::string formatTime(double ms);

} // namespace hemlockweir
