#pragma once

#include <QByteArray>
#include <QSslConfiguration>
#include <absl/status/status.h>
#include <mutex>
#include <string>

// A server's certificate and private key, read from two PEM files, and again when they change.

namespace hemlockweir {

// Where they stand.
struct TlsFilesOptions {
    std::string certificateFile; // PEM; the server's certificate, then those between it and the root
    std::string keyFile; // PEM; RSA or elliptic curve, not encrypted
};

// Thread-safe; its lock is a leaf.
class TlsFiles {
public:
    explicit TlsFiles(TlsFilesOptions options);

    // Reads both files. InvalidArgument says what is wrong with them, also when the key is not the
    // certificate's; what was loaded before stays in use then.
    absl::Status load();

    // Loads if the files' bytes differ from those last looked at. Files that are replaced one
    // after the other are refused in between and taken at the next look.
    absl::Status loadIfChanged();

    // What new connections use; a null one before the first load().
    QSslConfiguration configuration() const;

    // Loads that brought something new, the first included.
    int loadCount() const;

private:
    TlsFilesOptions options_;
    mutable std::mutex mutex_;
    QByteArray lastReadBytes_; // bytes of both files at the last look
    QSslConfiguration configuration_;
    int loadCount_ = 0;
};

} // namespace hemlockweir
