#include "support/SoakChecks.h"

#include "http/StatusCodes.h"

#include <gtest/gtest.h>

// Tests that each soak check detects records that violate its invariant.

using namespace hemlockweir;

namespace {

SoakRequest makeRequest(const std::string& path, int status, bool isComplete)
{
    SoakRequest request { .id = "r1", .gateway = "g1", .path = path, .body = "b", .sentAt = 1000, .endedAt = 1100, .status = status, .isComplete = isComplete };
    request.received = isComplete ? request.expectedBody() : "";
    return request;
}

SoakEffect makeEffect(const std::string& endpoint, qint64 at, const std::string& what, const std::string& group = "g", qint64 epoch = 1)
{
    return { .endpoint = endpoint, .at = at, .what = what, .request = what == "run" ? "r1" : "", .group = group, .epoch = epoch, .model = "small", .members = { "a1", "a2" } };
}

// Returns the effects of a replica with two members that served one request.
SoakEffects makeReplica()
{
    return {
        { "a1", { makeEffect("a1", 10, "joined"), makeEffect("a1", 20, "ready"), makeEffect("a1", 30, "open"), makeEffect("a1", 40, "run") } },
        { "a2", { makeEffect("a2", 10, "joined"), makeEffect("a2", 20, "ready") } },
    };
}

TEST(SoakChecks, CompleteAnswerMustMatchItsRequest)
{
    SoakRequest request = makeRequest("/look/1", statusOk, true);
    EXPECT_TRUE(checkAnswers({ request }).isEmpty());
    request.received = "another's";
    EXPECT_EQ(checkAnswers({ request }).size(), 1);
}

TEST(SoakChecks, StreamMayEndEarlyButNotSkip)
{
    SoakRequest request = makeRequest("/small/1", statusOk, false);
    request.events = 3;
    const std::string whole = request.expectedBody();
    request.received = whole.substr(0, whole.size() / 2);
    EXPECT_TRUE(checkAnswers({ request }).isEmpty());
    request.isComplete = true;
    EXPECT_EQ(checkAnswers({ request }).size(), 1) << "truncated, but marked as complete";
    request.isComplete = false;
    request.received = whole.substr(whole.size() / 2);
    EXPECT_EQ(checkAnswers({ request }).size(), 1) << "the beginning is missing";
}

TEST(SoakChecks, OrderThatRanTwice)
{
    SoakEffects effects = makeReplica();
    const SoakRequest order = makeRequest("/order/1", statusOk, true);
    EXPECT_TRUE(checkRunsOnce({ order }, effects).isEmpty());
    effects["a2"].push_back(makeEffect("a2", 50, "run"));
    EXPECT_EQ(checkRunsOnce({ order }, effects).size(), 1);
    EXPECT_TRUE(checkRunsOnce({ makeRequest("/look/1", statusOk, true) }, effects).isEmpty()) << "it may be repeated";
}

TEST(SoakChecks, RefusedRequestThatRan)
{
    EXPECT_EQ(checkRefusals({ makeRequest("/order/1", statusUnavailable, true) }, makeReplica()).size(), 1);
    EXPECT_TRUE(checkRefusals({ makeRequest("/order/1", statusBadGateway, true) }, makeReplica()).isEmpty());
    EXPECT_TRUE(checkRefusals({ makeRequest("/order/1", statusUnavailable, true) }, {}).isEmpty());
}

TEST(SoakChecks, RunInAnIncompleteReplica)
{
    SoakEffects effects = makeReplica();
    EXPECT_TRUE(checkWholeReplicas(effects).isEmpty());
    effects["a2"].pop_back();
    EXPECT_EQ(checkWholeReplicas(effects).size(), 1) << "a member was never ready";
    effects = makeReplica();
    effects["a2"].back().epoch = 2;
    EXPECT_EQ(checkWholeReplicas(effects).size(), 1) << "a member was ready in another epoch";
    effects = makeReplica();
    effects["a1"].back().members = { "a1" };
    EXPECT_EQ(checkWholeReplicas(effects).size(), 1) << "too few members";
}

TEST(SoakChecks, MemberThatJoinsAnotherReplicaWhileItsHeadServes)
{
    SoakEffects effects = makeReplica();
    effects["a2"].push_back(makeEffect("a2", 50, "joined", "h", 2));
    EXPECT_EQ(checkOneReplica(effects, {}).size(), 1);
    EXPECT_TRUE(checkOneReplica(effects, { { .what = "a1", .kind = "kill", .from = 45 } }).isEmpty()) << "the head was gone";
    effects["a1"].push_back(makeEffect("a1", 45, "left"));
    EXPECT_TRUE(checkOneReplica(effects, {}).isEmpty()) << "the head had left";
    effects = makeReplica();
    effects["a2"].push_back(makeEffect("a2", 45, "left"));
    effects["a2"].push_back(makeEffect("a2", 50, "joined", "h", 2));
    EXPECT_TRUE(checkOneReplica(effects, {}).isEmpty()) << "it had left itself";
}

TEST(SoakChecks, VersionThatDecreases)
{
    SoakRequest seen = makeRequest("/v5/", statusOk, true);
    SoakRequest lost = makeRequest("/v4/", statusNotFound, true);
    lost.sentAt = 2000;
    lost.endedAt = 2100;
    EXPECT_EQ(checkVersions({ seen, lost }, {}).size(), 1);
    lost.path = "/v2/";
    EXPECT_TRUE(checkVersions({ seen, lost }, {}).isEmpty()) << "version 5 no longer contains it";
    lost.path = "/v6/";
    EXPECT_TRUE(checkVersions({ seen, lost }, {}).isEmpty()) << "not seen yet";
}

TEST(SoakChecks, RequestWithoutAnEnd)
{
    SoakRequest request = makeRequest("/look/1", 0, false);
    EXPECT_TRUE(checkDeadlines({ request }, {}).isEmpty());
    request.hasTimedOut = true;
    EXPECT_EQ(checkDeadlines({ request }, {}).size(), 1);
}

} // namespace
