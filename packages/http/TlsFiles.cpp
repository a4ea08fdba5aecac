#include "http/TlsFiles.h"

#include <QFile>
#include <QSslCertificate>
#include <QSslKey>
#include <absl/status/statusor.h>
#include <glog/logging.h>
#include <memory>
#include <openssl/ssl.h>

namespace hemlockweir {

TlsFiles::TlsFiles(TlsFilesOptions options)
    : options_(std::move(options))
{
}

static absl::StatusOr<QByteArray> readBytes(const std::string& path)
{
    QFile file(QString::fromStdString(path));
    if (!file.open(QIODevice::ReadOnly))
        return absl::InvalidArgumentError("cannot read " + path + ": " + file.errorString().toStdString());
    return file.readAll();
}

static absl::StatusOr<QSslKey> readKey(const QByteArray& pem, const std::string& path)
{
    for (const QSsl::KeyAlgorithm algorithm : { QSsl::Rsa, QSsl::Ec }) {
        QSslKey key(pem, algorithm, QSsl::Pem, QSsl::PrivateKey);
        if (!key.isNull())
            return key;
    }
    return absl::InvalidArgumentError(path + " contains no unencrypted private key in PEM format");
}

// Checks that the key matches the certificate. Qt accepts a mismatched pair, and then every handshake fails.
static absl::Status checkPair(const TlsFilesOptions& options)
{
    const std::unique_ptr<SSL_CTX, void (*)(SSL_CTX*)> context(SSL_CTX_new(TLS_server_method()), SSL_CTX_free);
    CHECK(context) << "SSL_CTX_new() failed";
    const bool isPair = SSL_CTX_use_certificate_chain_file(context.get(), options.certificateFile.c_str()) == 1
        && SSL_CTX_use_PrivateKey_file(context.get(), options.keyFile.c_str(), SSL_FILETYPE_PEM) == 1
        && SSL_CTX_check_private_key(context.get()) == 1;
    if (isPair)
        return absl::OkStatus();
    return absl::InvalidArgumentError(options.keyFile + " does not match the certificate in " + options.certificateFile);
}

absl::Status TlsFiles::load()
{
    const absl::StatusOr<QByteArray> certificatePem = readBytes(options_.certificateFile);
    if (!certificatePem.ok())
        return certificatePem.status();
    const absl::StatusOr<QByteArray> keyPem = readBytes(options_.keyFile);
    if (!keyPem.ok())
        return keyPem.status();
    {
        std::lock_guard lock(mutex_);
        lastReadBytes_ = *certificatePem + *keyPem;
    }
    const QList<QSslCertificate> chain = QSslCertificate::fromData(*certificatePem, QSsl::Pem);
    if (chain.isEmpty())
        return absl::InvalidArgumentError(options_.certificateFile + " contains no certificate in PEM format");
    const absl::StatusOr<QSslKey> key = readKey(*keyPem, options_.keyFile);
    if (!key.ok())
        return key.status();
    if (const absl::Status status = checkPair(options_); !status.ok())
        return status;
    QSslConfiguration configuration = QSslConfiguration::defaultConfiguration();
    configuration.setLocalCertificateChain(chain);
    configuration.setPrivateKey(*key);
    configuration.setProtocol(QSsl::TlsV1_2OrLater);
    // Callers and operators authenticate with API keys, not with client certificates.
    configuration.setPeerVerifyMode(QSslSocket::VerifyNone);
    std::lock_guard lock(mutex_);
    configuration_ = configuration;
    ++loadCount_;
    return absl::OkStatus();
}

absl::Status TlsFiles::loadIfChanged()
{
    const absl::StatusOr<QByteArray> certificatePem = readBytes(options_.certificateFile);
    const absl::StatusOr<QByteArray> keyPem = readBytes(options_.keyFile);
    {
        std::lock_guard lock(mutex_);
        if (certificatePem.ok() && keyPem.ok() && lastReadBytes_ == *certificatePem + *keyPem)
            return absl::OkStatus();
    }
    return load();
}

QSslConfiguration TlsFiles::configuration() const
{
    std::lock_guard lock(mutex_);
    return configuration_;
}

int TlsFiles::loadCount() const
{
    std::lock_guard lock(mutex_);
    return loadCount_;
}

} // namespace hemlockweir
