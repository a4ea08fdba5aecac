#include "support/TestAuthority.h"

#include <QFile>
#include <QProcess>
#include <cstdio>
#include <gtest/gtest.h>

namespace hemlockweir {

static void runOpenssl(const QStringList& arguments)
{
    QProcess process;
    process.start("openssl", arguments);
    ASSERT_TRUE(process.waitForFinished());
    ASSERT_EQ(process.exitCode(), 0) << process.readAllStandardError().constData();
}

TestAuthority::TestAuthority(QString folder)
    : folder_(std::move(folder))
{
    runOpenssl({ "req", "-x509", "-newkey", "ec", "-pkeyopt", "ec_paramgen_curve:prime256v1", "-nodes", "-days", "30", "-subj", "/CN=authority of a test",
        "-keyout", keyFile("authority"), "-out", authorityFile() });
}

void TestAuthority::issue(const QString& name, const std::string& address) const
{
    const QString request = folder_ + "/" + name + ".csr";
    const QString extensions = folder_ + "/" + name + ".ext";
    QFile file(extensions);
    ASSERT_TRUE(file.open(QIODevice::WriteOnly));
    file.write("subjectAltName=IP:" + QByteArray::fromStdString(address) + "\n");
    file.close();
    runOpenssl({ "req", "-newkey", "ec", "-pkeyopt", "ec_paramgen_curve:prime256v1", "-nodes", "-subj", "/CN=" + name, "-keyout", keyFile(name), "-out", request });
    runOpenssl({ "x509", "-req", "-in", request, "-CA", authorityFile(), "-CAkey", keyFile("authority"), "-CAcreateserial", "-days", "30", "-extfile", extensions, "-out", certificateFile(name) });
}

void replaceFile(const QString& from, const QString& to)
{
    const QString copy = to + ".new";
    QFile::remove(copy);
    ASSERT_TRUE(QFile::copy(from, copy));
    ASSERT_EQ(std::rename(copy.toStdString().c_str(), to.toStdString().c_str()), 0);
}

} // namespace hemlockweir
