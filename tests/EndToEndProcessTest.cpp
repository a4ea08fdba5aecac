// Tests requests end to end through real processes: caller, nodes, groups of engines and platform.

#include "support/Cluster.h"

#include <gtest/gtest.h>

namespace hemlockweir {

class EndToEnd : public testing::Test {
protected:
    void SetUp() override
    {
        cluster.startStore();
        cluster.startEngines({ .count = 4, .domain = "a", .fabric = "a1" });
        cluster.startService("o1", "a", "orders");
        cluster.startNode({ .name = "n1", .domain = "a", .seeds = { "n2" } });
        cluster.startNode({ .name = "n2", .domain = "a", .seeds = { "n1" } });
        ASSERT_EQ(cluster.publish(makeServiceFile(2)), 0);
        ASSERT_TRUE(cluster.waitForGroups("n1", 2));
        ASSERT_TRUE(cluster.waitForGroups("n2", 2));
    }

    Cluster cluster;
};

TEST_F(EndToEnd, ReturnsCompleteAnswersThroughEitherNode)
{
    for (const char* node : { "n1", "n2" }) {
        const Answer answer = cluster.requestCompletion(node, { .maxTokens = 5 });
        ASSERT_EQ(answer.status, 200) << answer.body.constData();
        EXPECT_EQ(answer.json()["usage"].toObject()["completion_tokens"].toInt(), 5);
    }
}

TEST_F(EndToEnd, StreamsEachTokenAndAnEnd)
{
    const Answer answer = cluster.requestCompletion("n1", { .maxTokens = 3, .stream = true });
    ASSERT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body.count("\"finish_reason\":null"), 3);
    EXPECT_TRUE(answer.body.endsWith("data: [DONE]\n\n"));
}

TEST_F(EndToEnd, RunsAnOrderOnceForTwoRequestsThroughTwoNodes)
{
    const std::vector<HttpHeader> headers { { "Authorization", "Bearer caller-key" }, { "Idempotency-Key", "order-1" } };
    const Answer first = cluster.call("POST", cluster.urlOf("n1") + "/orders", "{\"prisms\":2}", headers);
    const Answer second = cluster.call("POST", cluster.urlOf("n2") + "/orders", "{\"prisms\":2}", headers);
    EXPECT_EQ(first.status, 200);
    EXPECT_EQ(second.body, first.body);
    EXPECT_EQ(cluster.effects("o1", "order").size(), 1U);
}

TEST_F(EndToEnd, RefusesAnUnknownCallerAsNotRun)
{
    const Answer answer = cluster.requestCompletion("n1", { .key = "stranger" });
    EXPECT_EQ(answer.status, 401);
    EXPECT_EQ(answer.outcome(), "not_run");
}

} // namespace hemlockweir
