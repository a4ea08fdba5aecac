#pragma once

#include <QString>
#include <string>

// A certificate authority of one test, by the openssl command.

namespace hemlockweir {

class TestAuthority {
public:
    // Makes the authority's key and certificate in a folder that exists.
    explicit TestAuthority(QString folder);

    // Writes NAME.crt and NAME.key for a server at an IP number.
    void issue(const QString& name, const std::string& address) const;

    // Paths of what was made.
    QString authorityFile() const { return folder_ + "/authority.crt"; }
    QString certificateFile(const QString& name) const { return folder_ + "/" + name + ".crt"; }
    QString keyFile(const QString& name) const { return folder_ + "/" + name + ".key"; }

private:
    QString folder_;
};

// Puts one file in the place of another at once.
void replaceFile(const QString& from, const QString& to);

} // namespace hemlockweir
