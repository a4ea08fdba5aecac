#include "ctl/Remote.h"

#include <QDateTime>
#include <QHostAddress>
#include <QJsonDocument>
#include <QSslCertificate>
#include <QSslConfiguration>
#include <QUrlQuery>
#include <absl/strings/str_join.h>
#include <algorithm>

namespace hemlockweir {

KvClient::Options makePlatformOptions(const CommandLine& line)
{
    KvClient::Options options;
    options.endpoints.emplace_back(QString::fromStdString(line.platform));
    return options;
}

static absl::StatusOr<KvRange> toReadError(absl::StatusOr<KvRange> range)
{
    if (range.ok())
        return range;
    // KvClient returns Unknown if a call may have taken effect. A read has no effect, so every error is
    // reported as Unavailable.
    return absl::UnavailableError("the platform did not respond: " + std::string(range.status().message()));
}

absl::StatusOr<KvRange> readKey(KvClient& platform, const std::string& key)
{
    return toReadError(await<KvRange>([&](const Callback<KvRange>& done) { platform.get(QByteArray::fromStdString(key), done); }));
}

absl::StatusOr<KvRange> readPrefix(KvClient& platform, const std::string& prefix)
{
    return toReadError(await<KvRange>([&](const Callback<KvRange>& done) { platform.getPrefix(QByteArray::fromStdString(prefix), done); }));
}

static absl::StatusOr<QJsonObject> parseNodeResponse(const std::string& node, const CallResult& result)
{
    constexpr int unauthorized = 401;
    if (result.end != CallEnd::Answered)
        return absl::UnavailableError("no response from " + node + ": " + result.error.toStdString());
    if (result.status == unauthorized)
        return absl::PermissionDeniedError(node + " refused the operator key; set HEMLOCKWEIR_OPERATOR_KEY or --operator-key-file");
    const QJsonDocument document = QJsonDocument::fromJson(result.body);
    if (!result.isSuccess() || !document.isObject())
        return absl::InternalError(node + " responded with HTTP status " + std::to_string(result.status));
    return document.object();
}

absl::StatusOr<QJsonObject> queryNode(const CommandLine& line, const std::string& node, const QString& path, const QString& queryName, const std::string& queryValue)
{
    QUrl url(QString::fromStdString(node));
    url.setPath(path);
    if (!queryName.isEmpty()) {
        QUrlQuery query;
        query.addQueryItem(queryName, QString::fromUtf8(QUrl::toPercentEncoding(QString::fromStdString(queryValue))));
        url.setQuery(query);
    }
    HttpClient client;
    std::shared_ptr<HttpCall> call;
    const CallOptions options { .method = "GET", .url = url, .headers = { { "Authorization", "Bearer " + QByteArray::fromStdString(line.operatorKey) } }, .body = {} };
    return await<QJsonObject>([&](const Callback<QJsonObject>& done) {
        call = client.start(options, { .onHead = {}, .onData = {}, .onDone = [&node, done](const CallResult& result) { done(parseNodeResponse(node, result)); } });
    });
}

absl::Status checkServerUrl(const std::string& option, const std::string& text, const std::vector<std::string>& schemes)
{
    const QUrl url(QString::fromStdString(text), QUrl::StrictMode);
    const bool isAllowedScheme = std::find(schemes.begin(), schemes.end(), url.scheme().toStdString()) != schemes.end();
    if (url.isValid() && isAllowedScheme && !QHostAddress(url.host()).isNull())
        return absl::OkStatus();
    return absl::InvalidArgumentError(option + " takes " + absl::StrJoin(schemes, " or ") + "://ADDRESS:PORT with an IP address, not '" + text + "'");
}

absl::Status trustCertificates(const std::string& file)
{
    const QList<QSslCertificate> certificates = QSslCertificate::fromPath(QString::fromStdString(file), QSsl::Pem, QSslCertificate::PatternSyntax::FixedString);
    if (certificates.isEmpty())
        return absl::InvalidArgumentError("--ca-file: " + file + " contains no PEM certificate");
    QSslConfiguration configuration = QSslConfiguration::defaultConfiguration();
    configuration.setCaCertificates(certificates);
    QSslConfiguration::setDefaultConfiguration(configuration);
    return absl::OkStatus();
}

void printJson(const CommandLine& line, const QJsonObject& object)
{
    line.out << QJsonDocument(object).toJson().toStdString();
}

std::string formatTime(double ms)
{
    return QDateTime::fromMSecsSinceEpoch(static_cast<qint64>(ms), Qt::UTC).toString(Qt::ISODate).toStdString();
}

} // namespace hemlockweir
