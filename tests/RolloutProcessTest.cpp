// A published configuration is applied on every node and never reverts to an older one. Runs real
// processes with stand-ins for the platform and the network.

#include "support/Cluster.h"

#include "config/Configuration.h"
#include "ctl/Publish.h"

#include <QJsonDocument>
#include <QRegularExpression>
#include <gtest/gtest.h>

namespace hemlockweir {

class Rollout : public testing::Test {
protected:
    int64_t revisionOf(const std::string& node) { return static_cast<int64_t>(cluster_.status(node)["revision"].toDouble()); }

    bool waitForRevision(const std::string& node, int64_t revision)
    {
        return waitUntil([&] { return revisionOf(node) >= revision; });
    }

    // Publishes a file that differs from the previous one and returns its revision.
    int64_t publish(const QStringList& options = {})
    {
        QByteArray output;
        EXPECT_EQ(cluster_.runCtl(publishArguments(options), &output), 0) << output.constData();
        return output.trimmed().split(' ').last().toLongLong();
    }

    QStringList publishArguments(const QStringList& options)
    {
        ++files_;
        const QString path = cluster_.writeFile("service-" + std::to_string(files_) + ".toml", makeServiceFile(files_));
        return QStringList { "publish", path, "--platform", QString::fromStdString(cluster_.urlOf("store")) } + options;
    }

    // Returns all revisions that a node logged as adopted, in order.
    std::vector<qlonglong> adopted(const std::string& node)
    {
        std::vector<qlonglong> revisions;
        static const QRegularExpression pattern("event=configuration_adopted revision=(\\d+)");
        auto found = pattern.globalMatch(QString::fromUtf8(cluster_.logOf(node)));
        while (found.hasNext())
            revisions.push_back(found.next().captured(1).toLongLong());
        return revisions;
    }

    void expectOnlyUpwards(const std::vector<std::string>& nodes)
    {
        for (const std::string& node : nodes) {
            const std::vector<qlonglong> revisions = adopted(node);
            for (size_t i = 1; i < revisions.size(); ++i)
                EXPECT_LT(revisions[i - 1], revisions[i]) << node;
        }
    }

    // Returns the proxy links, UDP and TCP, through which peers reach a node at NODE.in.
    std::vector<std::string> inboundLinks(const std::string& node)
    {
        const std::string addresses = cluster_.addressOf(node + ".in") + "," + cluster_.addressOf(node + ".peers");
        return { node + "-udp," + addresses + ",udp", node + "-tcp," + addresses };
    }

    std::string platformLink(const std::string& name) { return name + "," + cluster_.addressOf(name) + "," + cluster_.addressOf("store"); }

    size_t countWrites()
    {
        size_t count = 0;
        for (const QJsonObject& effect : cluster_.effects("store", "put"))
            count += effect["key"].toString() == configurationKey ? 1 : 0;
        return count;
    }

    size_t countLivingPeers(const std::string& node)
    {
        size_t count = 0;
        const QJsonArray peers = cluster_.status(node)["peers"].toArray();
        for (const QJsonValue& peer : peers)
            count += peer.toObject()["alive"].toBool() ? 1 : 0;
        return count;
    }

    // Returns the number of nodes that report a watch; 0 unless all nodes report the metric.
    size_t countWatching(const std::vector<std::string>& nodes)
    {
        size_t count = 0;
        for (const std::string& node : nodes) {
            const QByteArray metrics = cluster_.call("GET", cluster_.urlOf(node) + "/metrics").body;
            // Match a whole line, since the help text of the metric contains its name too.
            if (!metrics.contains("\nhemlockweir_configuration_watching "))
                return 0;
            count += metrics.contains("\nhemlockweir_configuration_watching 1\n") ? 1 : 0;
        }
        return count;
    }

    Cluster cluster_;
    int files_ = 0;
};

TEST_F(Rollout, NodeIsReadyOnlyWithAConfigurationInForce)
{
    cluster_.startStore();
    cluster_.startNode({ .name = "n1" });
    EXPECT_EQ(cluster_.call("GET", cluster_.urlOf("n1") + "/readyz").status, 503);
    publish();
    EXPECT_TRUE(cluster_.waitForReady("n1"));
}

TEST_F(Rollout, NodesStartedDuringAnOutageLearnTheNewestFromPeers)
{
    cluster_.startStore();
    cluster_.startNode({ .name = "n1", .domain = "a" });
    const int64_t revision = publish();
    ASSERT_TRUE(waitForRevision("n1", revision));
    cluster_.setFaults("store", { { "down", true } });
    cluster_.startNode({ .name = "n2", .domain = "a", .seeds = { "n1" } });
    cluster_.startNode({ .name = "n3", .domain = "b", .seeds = { "n2" } });
    EXPECT_TRUE(waitForRevision("n2", revision));
    EXPECT_TRUE(waitForRevision("n3", revision));
    cluster_.kill("n1");
    cluster_.restart("n1");
    // n1 has no seeds. n2 and n3 contact it, and it learns the configuration from them.
    EXPECT_TRUE(waitForRevision("n1", revision));
}

TEST_F(Rollout, NodeCutOffFromThePlatformLearnsFromPeers)
{
    cluster_.startStore();
    cluster_.startProxy({ platformLink("store2") });
    cluster_.startNode({ .name = "n1", .domain = "a" });
    cluster_.startNode({ .name = "n2", .domain = "b", .seeds = { "n1" }, .platform = "store2" });
    ASSERT_TRUE(waitForRevision("n2", publish()));
    cluster_.setFaults("proxy", { { "store2.cut", true } });
    EXPECT_TRUE(waitForRevision("n2", publish()));
    expectOnlyUpwards({ "n1", "n2" });
}

TEST_F(Rollout, StuckWatchIsDetected)
{
    cluster_.startStore();
    cluster_.startProxy({ platformLink("store1") });
    cluster_.startNode({ .name = "n1", .platform = "store1" });
    ASSERT_TRUE(waitForRevision("n1", publish()));
    cluster_.setFaults("proxy", { { "store1.silence", 1 } });
    EXPECT_TRUE(waitForRevision("n1", publish()));
}

TEST_F(Rollout, OnlyTwoNodesOfADomainWatchThePlatform)
{
    cluster_.startStore();
    const std::vector<std::string> nodes { "n1", "n2", "n3", "n4" };
    for (const std::string& node : nodes)
        cluster_.startNode({ .name = node, .domain = "a", .seeds = { "n1" } });
    for (const std::string& node : nodes)
        ASSERT_TRUE(waitUntil([&] { return countLivingPeers(node) == nodes.size() - 1; })) << node;
    const int64_t revision = publish();
    EXPECT_TRUE(waitUntil([&] { return countWatching(nodes) == 2; })) << countWatching(nodes);
    for (const std::string& node : nodes)
        EXPECT_TRUE(waitForRevision(node, revision));
}

TEST_F(Rollout, PausedNodeCatchesUpAndRevertsNothing)
{
    cluster_.startStore();
    cluster_.startNode({ .name = "n1", .domain = "a" });
    cluster_.startNode({ .name = "n2", .domain = "a", .seeds = { "n1" } });
    cluster_.startNode({ .name = "n3", .domain = "b", .seeds = { "n1" } });
    const int64_t first = publish();
    for (const char* node : { "n1", "n2", "n3" })
        ASSERT_TRUE(waitForRevision(node, first));
    cluster_.pause("n2");
    const int64_t second = publish();
    ASSERT_TRUE(waitForRevision("n1", second));
    ASSERT_TRUE(waitForRevision("n3", second));
    cluster_.setFaults("store", { { "down", true } });
    cluster_.resume("n2");
    EXPECT_TRUE(waitForRevision("n2", second));
    for (const char* node : { "n1", "n3" })
        EXPECT_EQ(revisionOf(node), second);
    expectOnlyUpwards({ "n1", "n2", "n3" });
}

TEST_F(Rollout, HealedPartitionRevertsNothing)
{
    cluster_.startStore();
    std::vector<std::string> links = inboundLinks("n1");
    for (const std::string& link : inboundLinks("n2"))
        links.push_back(link);
    links.push_back(platformLink("store2"));
    cluster_.startProxy(links);
    cluster_.startNode({ .name = "n1", .domain = "a", .advertised = "n1.in" });
    cluster_.startNode({ .name = "n2", .domain = "b", .seeds = { "n1" }, .advertised = "n2.in", .platform = "store2" });
    const int64_t first = publish();
    ASSERT_TRUE(waitForRevision("n2", first));
    cluster_.setFaults("proxy", { { "n1-udp.cut", true }, { "n1-tcp.cut", true }, { "n2-udp.cut", true }, { "n2-tcp.cut", true }, { "store2.cut", true } });
    const int64_t second = publish();
    ASSERT_TRUE(waitForRevision("n1", second));
    EXPECT_EQ(revisionOf("n2"), first);
    // The platform stays cut off, so n2 can learn the revision only from its peer.
    cluster_.setFaults("proxy", { { "n1-udp.cut", false }, { "n1-tcp.cut", false }, { "n2-udp.cut", false }, { "n2-tcp.cut", false } });
    EXPECT_TRUE(waitForRevision("n2", second));
    EXPECT_EQ(revisionOf("n1"), second);
    expectOnlyUpwards({ "n1", "n2" });
}

TEST_F(Rollout, PublishWhoseAnswerIsLostTookEffectOnce)
{
    cluster_.startStore();
    cluster_.startNode({ .name = "n1" });
    cluster_.setFaults("store", { { "lose_answers", 1 } });
    EXPECT_TRUE(waitForRevision("n1", publish()));
    EXPECT_EQ(countWrites(), 1u);
}

TEST_F(Rollout, PublishWhoseAnswerIsLostKnowsThatItIsSuperseded)
{
    cluster_.startStore();
    cluster_.startProxy({ platformLink("slow") });
    constexpr int delayMs = 1500; // each way, so that the read after the lost answer is still pending when the write is observed
    cluster_.setFaults("proxy", { { "slow.delay_ms", delayMs } });
    cluster_.setFaults("store", { { "lose_answers", 1 } });
    KvClient platform({ .endpoints = { QUrl(QString::fromStdString(cluster_.urlOf("slow"))) }, .timeout = hangLimit });
    std::optional<absl::StatusOr<int64_t>> result;
    publishConfiguration(platform, Configuration(), { .random = makeSeededRandom(1) }, [&](const absl::StatusOr<int64_t>& revision) { result = revision; });
    ASSERT_TRUE(waitUntil([&] { return countWrites() == 1; }));
    cluster_.setFaults("proxy", { { "slow.delay_ms", delayMs }, { "slow.freeze", true } });
    const int64_t second = publish();
    cluster_.setFaults("proxy", { { "slow.delay_ms", 0 }, { "slow.freeze", false } });
    ASSERT_TRUE(waitUntil([&] { return result.has_value(); }));
    EXPECT_TRUE(absl::IsAborted(result->status()));
    EXPECT_NE(result->status().message().find("superseded"), std::string_view::npos) << result->status();
    EXPECT_NE(result->status().message().find(std::to_string(second)), std::string_view::npos) << result->status();
    EXPECT_EQ(countWrites(), 2u);
}

TEST_F(Rollout, OfRacingPublishesOnOneBaseExactlyOneWins)
{
    cluster_.startStore();
    cluster_.startNode({ .name = "n1" });
    const int64_t base = publish();
    cluster_.setFaults("store", { { "delay_ms", 100 } });
    constexpr size_t racers = 4;
    std::vector<std::unique_ptr<QProcess>> processes;
    for (size_t i = 0; i < racers; ++i) {
        processes.push_back(std::make_unique<QProcess>());
        processes.back()->start(QString(BIN_DIR) + "/hemlockctl", publishArguments({ "--base", QString::number(base) }));
    }
    int published = 0;
    int rejected = 0;
    for (const auto& process : processes) {
        ASSERT_TRUE(waitUntil([&] { return process->state() == QProcess::NotRunning; }));
        published += process->exitCode() == 0 ? 1 : 0;
        rejected += process->exitCode() == 3 && process->readAllStandardError().contains("nothing was published") ? 1 : 0;
    }
    EXPECT_EQ(published, 1);
    EXPECT_EQ(rejected, static_cast<int>(racers) - 1);
    EXPECT_EQ(countWrites(), 2u);
    expectOnlyUpwards({ "n1" });
}

// Without --base, a publish replaces only the revision that it read, not one written in between.
TEST_F(Rollout, PublishWithoutABaseOverwritesNothingThatItDidNotSee)
{
    cluster_.startStore();
    cluster_.startProxy({ platformLink("slow") });
    publish();
    constexpr int delayMs = 1500;
    cluster_.setFaults("proxy", { { "slow.delay_ms", delayMs } });
    KvClient platform({ .endpoints = { QUrl(QString::fromStdString(cluster_.urlOf("slow"))) }, .timeout = hangLimit });
    std::optional<absl::StatusOr<int64_t>> result;
    const double callsBefore = cluster_.call("GET", cluster_.urlOf("store") + "/calls").json()["calls"].toDouble();
    publishConfiguration(platform, Configuration(), { .random = makeSeededRandom(1) }, [&](const absl::StatusOr<int64_t>& revision) { result = revision; });
    // Each poll of /calls counts as a call itself, so one more call is the read of the publish.
    double polls = 0;
    ASSERT_TRUE(waitUntil([&] { return cluster_.call("GET", cluster_.urlOf("store") + "/calls").json()["calls"].toDouble() > callsBefore + ++polls; }));
    cluster_.setFaults("proxy", { { "slow.delay_ms", delayMs }, { "slow.freeze", true } });
    publish();
    cluster_.setFaults("proxy", { { "slow.delay_ms", 0 }, { "slow.freeze", false } });
    ASSERT_TRUE(waitUntil([&] { return result.has_value(); }));
    EXPECT_TRUE(absl::IsAborted(result->status())) << result->status();
    EXPECT_EQ(countWrites(), 2u);
}

TEST_F(Rollout, MalformedValueIsRefusedAndTheOldStaysInForce)
{
    cluster_.startStore();
    cluster_.startNode({ .name = "n1", .domain = "a" });
    cluster_.startNode({ .name = "n2", .domain = "a", .seeds = { "n1" } });
    const int64_t first = publish();
    for (const char* node : { "n1", "n2" })
        ASSERT_TRUE(waitForRevision(node, first));
    for (const char* value : { "not JSON", "{}", "{\"publication\":\"x\",\"priorities\":5,\"callers\":[],\"models\":[],\"services\":[]}" }) {
        const int refusals = cluster_.logOf("n1").count("configuration_refused") + cluster_.logOf("n2").count("configuration_refused");
        const QJsonObject put { { "key", QString::fromLatin1(QByteArray(configurationKey).toBase64()) }, { "value", QString::fromLatin1(QByteArray(value).toBase64()) } };
        ASSERT_EQ(cluster_.call("POST", cluster_.urlOf("store") + "/v3/kv/put", QJsonDocument(put).toJson()).status, 200);
        EXPECT_TRUE(waitUntil([&] { return cluster_.logOf("n1").count("configuration_refused") + cluster_.logOf("n2").count("configuration_refused") > refusals; })) << value;
        EXPECT_EQ(revisionOf("n1"), first);
        EXPECT_EQ(revisionOf("n2"), first);
    }
    const int64_t last = publish();
    EXPECT_TRUE(waitForRevision("n1", last));
    EXPECT_TRUE(waitForRevision("n2", last));
}

TEST_F(Rollout, PlatformRestoredFromAnOldBackupRevertsNothing)
{
    cluster_.startStore();
    cluster_.startNode({ .name = "n1" });
    publish();
    publish();
    const int64_t held = publish();
    ASSERT_TRUE(waitForRevision("n1", held));
    cluster_.kill("store");
    cluster_.restart("store"); // empty, so its revision starts again from the beginning
    const int64_t restored = publish();
    ASSERT_LT(restored, held);
    EXPECT_TRUE(waitUntil([&] { return cluster_.logOf("n1").contains("configuration_went_back held=" + QByteArray::number(static_cast<qlonglong>(held)) + " platform=" + QByteArray::number(static_cast<qlonglong>(restored))); }));
    EXPECT_EQ(revisionOf("n1"), held);
    expectOnlyUpwards({ "n1" });
}

} // namespace hemlockweir
