// Tests hemlockctl against a running system: a store, two engines and one node.

#include "config/Configuration.h"
#include "support/Cluster.h"

#include <QFile>
#include <QJsonDocument>
#include <gtest/gtest.h>

namespace hemlockweir {

class Ctl : public testing::Test {
protected:
    void SetUp() override
    {
        cluster.startStore();
        cluster.startEngines({ .count = 2, .domain = "a", .fabric = "a1" });
        cluster.startNode({ .name = "n1", .domain = "a" });
        ASSERT_EQ(cluster.publish(makeServiceFile(2)), 0);
        ASSERT_TRUE(cluster.waitForGroups("n1", 1));
    }

    QStringList platform() { return { "--platform", QString::fromStdString(cluster.urlOf("store")) }; }
    QStringList node() { return { "--node", QString::fromStdString(cluster.urlOf("n1")) }; }

    int run(const QStringList& arguments) { return cluster.runCtl(arguments, &output); }
    QJsonObject json() const { return QJsonDocument::fromJson(output).object(); }

    Cluster cluster;
    QByteArray output;
};

TEST_F(Ctl, PrintsHelpWithExamplesForEveryCommand)
{
    ASSERT_EQ(run({ "--help" }), 0);
    const QByteArray usage = output;
    for (const char* command : { "validate", "publish", "show", "status", "drain", "undrain", "report", "explain" }) {
        EXPECT_TRUE(usage.contains(command));
        EXPECT_EQ(run({ command, "--help" }), 0);
        EXPECT_TRUE(output.contains("\n  hemlockctl " + QByteArray(command))) << output.constData();
    }
}

TEST_F(Ctl, ExitsWithTwoForInvalidCommandLines)
{
    const std::vector<QStringList> invalidCommandLines { {}, { "frob" }, { "publish" }, { "show", "--platform", "store:2379" }, { "status" }, { "drain", "e1" }, { "report" }, { "explain" }, { "show", "--frob" } };
    for (const QStringList& arguments : invalidCommandLines)
        EXPECT_EQ(run(arguments), 2) << arguments.join(' ').toStdString() << output.constData();
}

TEST_F(Ctl, ExitsWithFourWhenAServerIsUnreachable)
{
    EXPECT_EQ(run({ "show", "--platform", QString::fromStdString(cluster.urlOf("nobody")) }), 4);
    EXPECT_EQ(run(QStringList { "status", "--node", QString::fromStdString(cluster.urlOf("nobody")) } + node()), 4);
    EXPECT_TRUE(output.contains("node n1")) << "nodes that respond must be printed";
}

TEST_F(Ctl, NamesTheOtherAuthorWhenAPublishConflicts)
{
    ASSERT_EQ(run(QStringList { "show", "--json" } + platform()), 0);
    const QJsonObject shown = json();
    const QString base = QString::number(shown["revision"].toDouble(), 'f', 0);
    EXPECT_EQ(shown["configuration"].toObject()["author"].toString(), "test-desk");
    const QString file = cluster.writeFile("mine.toml", makeServiceFile(1));
    EXPECT_EQ(run(QStringList { "publish", cluster.writeFile("theirs.toml", makeServiceFile(2)), "--base", base, "--by", "other-desk" } + platform()), 0);
    EXPECT_EQ(run(QStringList { "publish", file, "--base", base } + platform()), 3);
    EXPECT_TRUE(output.contains("by other-desk at ")) << output.constData();
    EXPECT_TRUE(output.contains("changes model 'm'")) << output.constData();
}

TEST_F(Ctl, DrainsOnceAndUndrains)
{
    const QStringList drain = QStringList { "drain", "a1-1", "--reason", "replace fan" } + platform();
    EXPECT_EQ(run(drain), 0) << output.constData();
    EXPECT_EQ(run(drain), 0) << "repeating the same drain must not be a conflict";
    EXPECT_EQ(run(drain + QStringList { "--by", "other-desk" }), 3);
    EXPECT_TRUE(output.contains("by test-desk: replace fan")) << output.constData();
    EXPECT_EQ(run(QStringList { "undrain", "a1-1" } + platform()), 0);
    EXPECT_EQ(run(QStringList { "undrain", "a1-1" } + platform()), 1);
    cluster.setFaults("store", { { "lose_answers", 1 } });
    EXPECT_EQ(run(drain), 0) << "a drain must detect its own write after a lost response: " << output.constData();
}

TEST_F(Ctl, ExplainsARefusedRequest)
{
    const Answer answer = cluster.requestCompletion("n1", { .model = "nobody" });
    const QString id = answer.json()["error"].toObject()["request_id"].toString();
    ASSERT_EQ(run(QStringList { "explain", id } + node()), 0) << output.constData();
    EXPECT_TRUE(output.contains("unknown_model")) << output.constData();
    EXPECT_TRUE(output.contains("not_run")) << output.constData();
    EXPECT_EQ(run(QStringList { "explain", "never-seen" } + node()), 1);
}

TEST_F(Ctl, ExplainsWhyAGroupIsDown)
{
    const QString group = cluster.wholeGroups("n1").front()["group"].toString();
    cluster.kill("a1-2");
    ASSERT_TRUE(waitUntil([&] { return run(QStringList { "explain", "--group", group } + node()) == 0 && output.contains(", because "); })) << output.constData();
    EXPECT_TRUE(output.contains("a1-2"));
    EXPECT_EQ(run(QStringList { "explain", "--instance", "a1-2" } + node()), 0);
}

TEST_F(Ctl, RefusesTheWrongOperatorKeyAndDoesNotPrintIt)
{
    const QString file = cluster.writeFile("key", "not the operators' key\n");
    EXPECT_EQ(run(QStringList { "status", "--operator-key-file", file } + node()), 1);
    EXPECT_TRUE(output.contains("refused the operator key"));
    EXPECT_FALSE(output.contains("not the operators' key"));
}

// Nodes reject a malformed published document as a whole and keep the previous configuration.
TEST_F(Ctl, KeepsThePreviousConfigurationWhenAPublishedOneIsMalformed)
{
    const double before = cluster.status("n1")["revision"].toDouble();
    const QByteArray malformed = R"({"publication":"x","priorities":7,"callers":[],"models":[],"services":[]})";
    const QJsonObject put { { "key", QString::fromLatin1(QByteArray(configurationKey).toBase64()) }, { "value", QString::fromLatin1(malformed.toBase64()) } };
    ASSERT_EQ(cluster.call("POST", cluster.urlOf("store") + "/v3/kv/put", QJsonDocument(put).toJson()).status, 200);
    EXPECT_TRUE(waitUntil([&] { return cluster.logOf("n1").contains("configuration_refused"); }));
    EXPECT_EQ(cluster.status("n1")["revision"].toDouble(), before);
    EXPECT_EQ(cluster.requestCompletion("n1", {}).status, 200);
}

} // namespace hemlockweir
