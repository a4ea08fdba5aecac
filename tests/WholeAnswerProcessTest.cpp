// Tests that each caller gets the complete answer to its own request. The answer is resumed when a
// leader dies or a token is missing; chunks of other runs and repeated chunks are ignored.

#include "support/Cluster.h"

#include <QJsonDocument>
#include <gtest/gtest.h>

namespace hemlockweir {

namespace {

    struct Streamed {
        QString text;
        bool isDone = false; // ended with [DONE]
        QString outcome; // of an error event
    };

    Streamed readStream(const QByteArray& bytes)
    {
        Streamed streamed;
        for (const QByteArray& line : bytes.split('\n')) {
            if (line == "data: [DONE]")
                streamed.isDone = true;
            const QJsonObject event = QJsonDocument::fromJson(line.mid(6)).object();
            streamed.text += event["choices"].toArray().at(0).toObject()["text"].toString();
            if (event.contains("error"))
                streamed.outcome = event["error"].toObject()["outcome"].toString();
        }
        return streamed;
    }

} // namespace

class WholeAnswer : public testing::Test {
protected:
    void SetUp() override
    {
        cluster.startStore();
        cluster.startEngines({ .count = 4, .domain = "a", .fabric = "a1", .arguments = { "--token-ms", "20" } });
        cluster.startNode({ .name = "n1", .domain = "a" });
        ASSERT_EQ(cluster.publish(makeServiceFile(2)), 0);
        ASSERT_TRUE(cluster.waitForGroups("n1", 2));
    }

    PendingAnswer startStream(const QString& prompt, int maxTokens, const QByteArray& requestId = "same-id")
    {
        const QJsonObject body { { "model", "m" }, { "prompt", prompt }, { "max_tokens", maxTokens }, { "stream", true }, { "seed", 7 } };
        return cluster.start("POST", cluster.urlOf("n1") + "/v1/completions", QJsonDocument(body).toJson(),
            { { "Authorization", "Bearer caller-key" }, { "X-Request-Id", requestId } });
    }

    void setEngineFaults(const QJsonObject& faults)
    {
        for (const Instance& instance : cluster.instances())
            cluster.setFaults(instance.id, faults);
    }

    // Returns the engine that runs the only request.
    std::string findServingEngine()
    {
        for (const Instance& instance : cluster.instances()) {
            if (!cluster.effects(instance.id, "run_started").empty())
                return instance.id;
        }
        return {};
    }

    Cluster cluster;
};

TEST_F(WholeAnswer, ResumesAtTheSameTokenAfterALeaderDies)
{
    const PendingAnswer pending = startStream("history", 60);
    ASSERT_TRUE(waitUntil([&] { return pending.received->count("\"text\"") >= 5; }));
    cluster.kill(findServingEngine());
    const Streamed interrupted = readStream(pending.wait().body);
    EXPECT_TRUE(interrupted.isDone);
    EXPECT_EQ(interrupted.text, readStream(startStream("history", 60).wait().body).text);
}

TEST_F(WholeAnswer, IgnoresCrossedAndRepeatedChunks)
{
    const QString first = readStream(startStream("first", 30).wait().body).text;
    const QString second = readStream(startStream("second", 30).wait().body).text;
    setEngineFaults({ { "crossed_chunks", true } });
    std::vector<PendingAnswer> pending;
    pending.reserve(4);
    // Two requests for each group, all with the same X-Request-Id.
    for (int i = 0; i < 4; ++i)
        pending.push_back(startStream(i % 2 == 0 ? "first" : "second", 30));
    for (int i = 0; i < 4; ++i) {
        const Streamed streamed = readStream(pending[static_cast<size_t>(i)].wait().body);
        EXPECT_TRUE(streamed.isDone);
        EXPECT_EQ(streamed.text, i % 2 == 0 ? first : second);
    }
}

TEST_F(WholeAnswer, IsResumedWhenATokenIsMissing)
{
    const QString expected = readStream(startStream("drops", 20).wait().body).text;
    setEngineFaults({ { "lose_tokens", 1 } });
    const Streamed streamed = readStream(startStream("drops", 20).wait().body);
    EXPECT_TRUE(streamed.isDone);
    EXPECT_EQ(streamed.text, expected);
}

TEST_F(WholeAnswer, IsNotCompleteWhenItsLastTokenIsMissing)
{
    const QString expected = readStream(startStream("short", 1).wait().body).text;
    setEngineFaults({ { "lose_tokens", 1 } });
    const Streamed streamed = readStream(startStream("short", 1).wait().body);
    EXPECT_TRUE(streamed.isDone);
    EXPECT_EQ(streamed.text, expected);
}

TEST_F(WholeAnswer, EndsWithAnErrorWhenNoEngineCanResume)
{
    setEngineFaults({ { "cannot_resume", true } });
    const PendingAnswer pending = startStream("history", 60);
    ASSERT_TRUE(waitUntil([&] { return pending.received->count("\"text\"") >= 5; }));
    cluster.kill(findServingEngine());
    const Streamed streamed = readStream(pending.wait().body);
    EXPECT_FALSE(streamed.isDone);
    EXPECT_EQ(streamed.outcome, "unknown");
}

} // namespace hemlockweir
