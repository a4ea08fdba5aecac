// The shared report of real nodes loses no request and counts none twice.

#include "support/Cluster.h"

#include <QFile>
#include <QJsonDocument>
#include <gtest/gtest.h>

namespace hemlockweir {

class Report : public testing::Test {
protected:
    void start(const std::string& timing)
    {
        cluster.startStore();
        cluster.startEngines({ .count = 2, .domain = "a", .fabric = "a1" });
        for (const char* name : { "n1", "n2" })
            cluster.startNode({ .name = name, .domain = "a", .seeds = { "n1", "n2" }, .settings = "[timing]\n" + timing });
        ASSERT_EQ(cluster.publish(makeServiceFile(2)), 0);
        ASSERT_TRUE(cluster.waitForGroups("n1", 1));
        ASSERT_TRUE(cluster.waitForGroups("n2", 1));
        ASSERT_TRUE(waitUntil([this] { return cluster.status("n1")["peers"].toArray().size() == 1 && cluster.status("n2")["peers"].toArray().size() == 1; }));
    }

    QString platform() { return QString::fromStdString(cluster.urlOf("store")); }
    QString node(const std::string& name) { return QString::fromStdString(cluster.urlOf(name)); }

    QJsonObject report(const QStringList& sources, int expectedCode = 0)
    {
        QByteArray output;
        EXPECT_EQ(cluster.runCtl(QStringList { "report", "--json" } + sources, &output), expectedCode) << output.constData();
        return QJsonDocument::fromJson(output).object();
    }

    static double counter(const QJsonObject& report, const char* rows, const char* name, const char* field)
    {
        for (const QJsonValue& row : report[QLatin1String(rows)].toArray()) {
            if (row.toObject()["name"].toString() == name)
                return row.toObject()[QLatin1String(field)].toDouble();
        }
        return 0;
    }

    bool waitForRequests(const QStringList& sources, double requests)
    {
        return waitUntil([&] { return counter(report(sources), "by_caller", "caller", "asked") >= requests; });
    }

    void expectSameAsEngines(const QJsonObject& answer)
    {
        double runs = 0;
        double tokens = 0;
        for (const char* engine : { "a1-1", "a1-2" }) {
            for (const QJsonObject& effect : cluster.effects(engine, "run_finished")) {
                ++runs;
                tokens += effect["tokens"].toDouble();
            }
        }
        EXPECT_EQ(counter(answer, "by_caller", "caller", "whole") + counter(answer, "by_caller", "caller", "late"), runs);
        EXPECT_EQ(counter(answer, "by_caller", "caller", "tokens"), tokens);
    }

    Cluster cluster;
};

TEST_F(Report, EqualsWhatTheEnginesRan)
{
    start("report_share_interval_ms = 50\nreport_flush_interval_ms = 100\n");
    for (int i = 0; i < 3; ++i) {
        ASSERT_EQ(cluster.requestCompletion("n1", { .maxTokens = 4 }).status, 200);
        ASSERT_EQ(cluster.requestCompletion("n2", { .maxTokens = 2, .headers = { { "X-Priority", "batch" } } }).status, 200);
    }
    EXPECT_EQ(cluster.requestCompletion("n1", { .model = "nobody" }).status, 404);
    const QStringList sources { "--platform", platform(), "--node", node("n1"), "--node", node("n2") };
    ASSERT_TRUE(waitForRequests(sources, 7));
    const QJsonObject answer = report(sources);
    expectSameAsEngines(answer);
    EXPECT_EQ(counter(answer, "by_caller", "caller", "asked"), 7);
    EXPECT_EQ(counter(answer, "by_caller", "caller", "refused"), 1);
    EXPECT_EQ(counter(answer, "by_priority", "batch", "asked"), 3);
    EXPECT_EQ(answer["parts"].toArray().size(), 2);
    // After a flush, the platform alone has the same counters.
    EXPECT_TRUE(waitForRequests({ "--platform", platform() }, 7));
    expectSameAsEngines(report({ "--platform", platform() }));
}

TEST_F(Report, KeepsTheFiguresOfAKilledNode)
{
    // The flush interval is longer than the time until the kill, so only the peer has a copy.
    start("report_share_interval_ms = 50\nreport_flush_interval_ms = 2000\n");
    ASSERT_EQ(cluster.requestCompletion("n1", { .maxTokens = 4 }).status, 200);
    ASSERT_TRUE(waitForRequests({ "--node", node("n2") }, 1));
    cluster.kill("n1");
    // The surviving node writes the killed node's part. The restarted node counts in a new part.
    EXPECT_TRUE(waitForRequests({ "--platform", platform() }, 1));
    cluster.restart("n1");
    ASSERT_TRUE(cluster.waitForGroups("n1", 1));
    ASSERT_EQ(cluster.requestCompletion("n1", { .maxTokens = 4 }).status, 200);
    const QStringList sources { "--platform", platform(), "--node", node("n1"), "--node", node("n2") };
    ASSERT_TRUE(waitForRequests(sources, 2));
    expectSameAsEngines(report(sources));
}

TEST_F(Report, CountsNothingTwiceWhenAnswersOfWritesAreLost)
{
    start("report_share_interval_ms = 50\nreport_flush_interval_ms = 100\n");
    cluster.setFaults("store", { { "lose_answers", 6 } });
    ASSERT_EQ(cluster.requestCompletion("n1", { .maxTokens = 4 }).status, 200);
    ASSERT_EQ(cluster.requestCompletion("n2", { .maxTokens = 4 }).status, 200);
    EXPECT_TRUE(waitForRequests({ "--platform", platform() }, 2));
    const QStringList sources { "--platform", platform(), "--node", node("n1"), "--node", node("n2") };
    expectSameAsEngines(report(sources));
    EXPECT_EQ(counter(report(sources), "by_caller", "caller", "asked"), 2);
}

TEST_F(Report, ListsSourcesThatDidNotAnswer)
{
    start("report_share_interval_ms = 50\n");
    ASSERT_EQ(cluster.requestCompletion("n1", { .maxTokens = 4 }).status, 200);
    ASSERT_TRUE(waitForRequests({ "--node", node("n2") }, 1));
    cluster.setFaults("store", { { "down", true } });
    cluster.kill("n1");
    const QJsonObject answer = report({ "--platform", platform(), "--node", node("n1"), "--node", node("n2") }, 4);
    EXPECT_EQ(answer["not_heard_from"].toArray().size(), 2);
    EXPECT_EQ(counter(answer, "by_caller", "caller", "asked"), 1);
}

TEST_F(Report, WritesItsFiguresAtAPlannedStop)
{
    start("report_flush_interval_ms = 3600000\n");
    ASSERT_EQ(cluster.requestCompletion("n1", { .maxTokens = 4 }).status, 200);
    cluster.terminate("n1");
    ASSERT_TRUE(cluster.waitForExit("n1"));
    expectSameAsEngines(report({ "--platform", platform() }));
}

TEST_F(Report, NamesTheAcceleratorsThatABrokenGroupStrands)
{
    start("report_share_interval_ms = 50\nreport_flush_interval_ms = 100\n");
    const QStringList sources { "--platform", platform(), "--node", node("n1"), "--node", node("n2") };
    auto stranded = [&](const QString& cause) {
        const QJsonObject answer = report(sources);
        for (const QJsonValue& row : answer["waste"].toArray()) {
            if (row.toObject()["cause"].toString() == cause)
                return row.toObject()["stranded_ms"].toDouble();
        }
        return -1.0;
    };
    ASSERT_TRUE(waitUntil([&] { return stranded("loading") >= 0; }));
    // Members were idle before the group was whole. This time does not increase while it is whole.
    const double idle = stranded("no_partner") + stranded("missing_member");
    const double notReporting = stranded("not_reporting");
    cluster.kill("a1-2");
    // The surviving member has no partner. The killed instance is still listed but does not report.
    EXPECT_TRUE(waitUntil([&] { return stranded("no_partner") + stranded("missing_member") > idle; }));
    EXPECT_TRUE(waitUntil([&] { return stranded("not_reporting") > notReporting; }));
}

} // namespace hemlockweir
