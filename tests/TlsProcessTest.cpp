// Tests of a node that uses TLS for callers and operators, and whose certificate is replaced while it runs.

#include "support/Cluster.h"
#include "support/RawClient.h"
#include "support/TestAuthority.h"

#include <QSslCertificate>
#include <QSslConfiguration>
#include <QSslSocket>
#include <QTemporaryDir>
#include <gtest/gtest.h>

namespace hemlockweir {

// A TLS client that trusts a single authority.
class TlsClient {
public:
    TlsClient(const std::string& endpoint, const QString& authorityFile)
    {
        QSslConfiguration configuration = QSslConfiguration::defaultConfiguration();
        configuration.setCaCertificates(QSslCertificate::fromPath(authorityFile));
        socket_.setSslConfiguration(configuration);
        const QUrl url(QString::fromStdString("tcp://" + endpoint));
        socket_.connectToHostEncrypted(url.host(), static_cast<quint16>(url.port()));
        waitUntil([this] { return socket_.isEncrypted() || socket_.state() == QAbstractSocket::UnconnectedState; });
    }

    bool isEncrypted() const { return socket_.isEncrypted(); }
    QString serverName() const { return socket_.peerCertificate().subjectInfo(QSslCertificate::CommonName).value(0); }
    void send(const QByteArray& bytes) { socket_.write(bytes); }

    void stopReading()
    {
        socket_.setReadBufferSize(1);
        socket_.setSocketOption(QAbstractSocket::ReceiveBufferSizeSocketOption, 4096);
    }

    bool waitForText(const QByteArray& text)
    {
        waitUntil([&] {
            received_ += socket_.readAll();
            return received_.contains(text) || socket_.state() == QAbstractSocket::UnconnectedState;
        });
        return received_.contains(text);
    }

    const QByteArray& received() const { return received_; }

private:
    QSslSocket socket_;
    QByteArray received_;
};

class Tls : public testing::Test {
protected:
    void SetUp() override
    {
        const std::string address = cluster.addressOf("n1").substr(0, cluster.addressOf("n1").find(':'));
        for (const char* name : { "first", "second" })
            authority.issue(name, address);
        installCertificate("first");
        cluster.startStore();
        cluster.startEngines({ .count = 2, .domain = "a", .fabric = "a1", .arguments = { "--token-ms", "20" } });
        cluster.startNode({ .name = "n1", .domain = "a", .settings = tlsSettings() + "\n[limits]\nrequest_timeout_ms = 500\nreply_buffer_bytes = 4096\n", .tlsAuthority = authority.authorityFile() });
        ASSERT_EQ(cluster.publish(makeServiceFile(2)), 0);
        ASSERT_TRUE(cluster.waitForGroups("n1", 1));
    }

    void installCertificate(const QString& name)
    {
        replaceFile(authority.certificateFile(name), folder.path() + "/node.crt");
        replaceFile(authority.keyFile(name), folder.path() + "/node.key");
    }

    std::string tlsSettings() const
    {
        return "[tls]\ncertificate_file = \"" + folder.path().toStdString() + "/node.crt\"\nkey_file = \"" + folder.path().toStdString() + "/node.key\"\ncheck_interval_ms = 50\n";
    }

    static QByteArray completion(int tokens)
    {
        const QByteArray body = "{\"model\":\"m\",\"prompt\":\"hello\",\"stream\":true,\"max_tokens\":" + QByteArray::number(tokens) + "}";
        return "POST /v1/completions HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer caller-key\r\nContent-Length: " + QByteArray::number(body.size()) + "\r\n\r\n" + body;
    }

    QTemporaryDir folder;
    TestAuthority authority { folder.path() };
    Cluster cluster;
};

TEST_F(Tls, StreamsToCallersAndAnswersOperators)
{
    TlsClient caller(cluster.addressOf("n1"), authority.authorityFile());
    ASSERT_TRUE(caller.isEncrypted());
    caller.send(completion(5));
    EXPECT_TRUE(caller.waitForText("data: [DONE]"));
    EXPECT_EQ(caller.received().count("\"finish_reason\":null"), 5);
    QByteArray output;
    const QString url = QString::fromStdString(cluster.urlOf("n1"));
    EXPECT_TRUE(url.startsWith("https://"));
    EXPECT_EQ(cluster.runCtl({ "status", "--node", url, "--ca-file", authority.authorityFile() }, &output), 0) << output.constData();
    EXPECT_EQ(cluster.runCtl({ "status", "--node", url }, &output), 4) << output.constData();
}

TEST_F(Tls, RefusesUnknownAuthoritiesAndPlaintextCallers)
{
    QTemporaryDir elsewhere;
    const TestAuthority other(elsewhere.path());
    EXPECT_FALSE(TlsClient(cluster.addressOf("n1"), other.authorityFile()).isEncrypted());
    RawClient plain(cluster.addressOf("n1"));
    plain.send("GET /healthz HTTP/1.1\r\nHost: node\r\n\r\n");
    EXPECT_TRUE(plain.waitForClose());
    EXPECT_FALSE(plain.received().contains("200"));
}

TEST_F(Tls, ClosesAConnectionWithoutTlsHandshake)
{
    RawClient silent(cluster.addressOf("n1"));
    EXPECT_TRUE(silent.waitForClose());
    EXPECT_TRUE(silent.received().isEmpty());
}

TEST_F(Tls, EnforcesTheLimitsOfPlaintextCallers)
{
    TlsClient large(cluster.addressOf("n1"), authority.authorityFile());
    large.send("POST /v1/completions HTTP/1.1\r\nContent-Length: 419430400\r\n\r\n");
    EXPECT_TRUE(large.waitForText("\"outcome\":\"not_run\""));
    EXPECT_TRUE(large.received().startsWith("HTTP/1.1 413"));
    TlsClient half(cluster.addressOf("n1"), authority.authorityFile());
    half.send("POST /v1/completions HTTP/1.1\r\nContent-Le");
    EXPECT_TRUE(half.waitForText("\"outcome\":\"not_run\""));
    EXPECT_TRUE(half.received().startsWith("HTTP/1.1 408"));
}

TEST_F(Tls, DisconnectsASlowReader)
{
    TlsClient slow(cluster.addressOf("n1"), authority.authorityFile());
    slow.stopReading();
    for (const char* engine : { "a1-1", "a1-2" })
        cluster.setFaults(engine, { { "token_ms", 1 } });
    slow.send(completion(100000));
    EXPECT_TRUE(waitUntil([&] { return cluster.logOf("n1").contains("event=slow_reader_cut"); }));
    EXPECT_TRUE(waitUntil([&] { return cluster.effects("a1-1", "run_cancelled").size() + cluster.effects("a1-2", "run_cancelled").size() == 1; }));
}

TEST_F(Tls, LoadsANewCertificateWithoutInterruptingAStream)
{
    TlsClient before(cluster.addressOf("n1"), authority.authorityFile());
    EXPECT_EQ(before.serverName(), "first");
    before.send(completion(100));
    ASSERT_TRUE(before.waitForText("\"finish_reason\":null"));
    installCertificate("second");
    EXPECT_TRUE(waitUntil([&] { return TlsClient(cluster.addressOf("n1"), authority.authorityFile()).serverName() == "second"; }));
    EXPECT_TRUE(before.waitForText("data: [DONE]"));
    EXPECT_EQ(before.received().count("\"finish_reason\":null"), 100);
}

TEST_F(Tls, KeepsThePreviousCertificateWhenKeyAndCertificateDoNotMatch)
{
    replaceFile(authority.keyFile("second"), folder.path() + "/node.key");
    EXPECT_TRUE(waitUntil([&] { return cluster.logOf("n1").contains("event=tls_files_refused"); }));
    const TlsClient after(cluster.addressOf("n1"), authority.authorityFile());
    EXPECT_EQ(after.serverName(), "first");
}

} // namespace hemlockweir
