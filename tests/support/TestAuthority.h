#pragma once

#include <QString>
#include <string>

// A certificate authority for tests, which runs the openssl command.

namespace hemlockweir {

class TestAuthority {
public:
    // Creates the authority's key and certificate in an existing folder.
    explicit TestAuthority(QString folder);

    // Writes NAME.crt and NAME.key for a server with this IP address.
    void issue(const QString& name, const std::string& address) const;

    // Return the paths of the created files.
    QString authorityFile() const { return folder_ + "/authority.crt"; }
    QString certificateFile(const QString& name) const { return folder_ + "/" + name + ".crt"; }
    QString keyFile(const QString& name) const { return folder_ + "/" + name + ".key"; }

private:
    QString folder_;
};

// Atomically replaces the file `to` by a copy of `from`.
void replaceFile(const QString& from, const QString& to);

} // namespace hemlockweir
