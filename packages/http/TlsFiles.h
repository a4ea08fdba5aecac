#pragma once

#include <QByteArray>
#include <QSslConfiguration>
#include <absl/status/status.h>
#include <mutex>
#include <string>

// Loads a server's certificate and private key from two PEM files, and reloads them when they change.

namespace hemlockweir {

// Paths of the two files.
struct TlsFilesOptions {
    std::string certificateFile; // PEM; the server's certificate, followed by the intermediate certificates
    std::string keyFile; // PEM; RSA or elliptic curve, not encrypted
};

// Thread-safe; no other lock is acquired while its mutex is held.
class TlsFiles {
public:
    explicit TlsFiles(TlsFilesOptions options);

    // Loads both files. Returns an error that names the fault when they are unreadable or invalid, or when the key does
    // not match the certificate. The previously loaded configuration then stays in use.
    absl::Status load();

    // Calls load() if the files' contents have changed since they were last read. If the two files are replaced
    // one after the other, a call in between fails and a later one succeeds.
    absl::Status loadIfChanged();

    // Returns the configuration for new connections, or a null one before the first successful load().
    QSslConfiguration configuration() const;

    // Returns the number of successful loads.
    int loadCount() const;

private:
    TlsFilesOptions options_;
    mutable std::mutex mutex_;
    QByteArray lastReadBytes_; // contents of both files when last read
    QSslConfiguration configuration_;
    int loadCount_ = 0;
};

} // namespace hemlockweir
