#pragma once

#include "ctl/Command.h"
#include "platform/KvClient.h"

#include <QEventLoop>
#include <optional>

// Blocking calls of a command to the platform and to nodes.

namespace hemlockweir {

// Starts an asynchronous call with `start` and runs the event loop until its callback is invoked.
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

// Returns client options for the platform named by --platform.
KvClient::Options makePlatformOptions(const CommandLine& line);

// Read one key, or all keys with a prefix. Return Unavailable if the platform does not respond.
absl::StatusOr<KvRange> readKey(KvClient& platform, const std::string& key);
absl::StatusOr<KvRange> readPrefix(KvClient& platform, const std::string& prefix);

// Requests a JSON object from a node with the operator key. Returns Unavailable if the node does not
// respond, PermissionDenied if it refuses the key, and Internal for any other response.
absl::StatusOr<QJsonObject> queryNode(const CommandLine& line, const std::string& node, const QString& path,
    const QString& queryName = {}, const std::string& queryValue = {});

// Returns InvalidArgument unless `text` is SCHEME://ADDRESS:PORT with one of the schemes and an IP
// address. `option` is the name of the option in the message.
absl::Status checkServerUrl(const std::string& option, const std::string& text, const std::vector<std::string>& schemes);

// Replaces the CA certificates trusted by all later calls by those of a PEM file.
absl::Status trustCertificates(const std::string& file);

// Prints a JSON object to the output stream.
void printJson(const CommandLine& line, const QJsonObject& object);

// Formats a wall time, in ms since the epoch, in UTC, such as 2026-01-31T12:00:00Z.
std::string formatTime(double ms);

} // namespace hemlockweir
