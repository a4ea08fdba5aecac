#include "support/SoakChecks.h"

#include "http/StatusCodes.h"

#include <algorithm>
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

// The limit of the endpoint in makeLimited(), in requests a second: it may get 17 requests in a window.
constexpr double requestLimit = 2;
constexpr qint64 limitedAtMs = 1000;
constexpr qint64 limitKnownAtMs = 4000;
constexpr qint64 unlimitedAtMs = 12000;

// Returns the effects of an endpoint that names its limit for some time and gets a request at each interval, in ms, while all
// gateways must know the limit, and many before and after.
SoakEffects makeLimited(qint64 interval)
{
    std::vector<SoakEffect> effects;
    const auto addArrivals = [&](qint64 from, qint64 until, qint64 step) {
        for (qint64 at = from; at < until; at += step)
            effects.push_back({ .endpoint = "desk-a", .at = at, .what = "arrived", .request = "r1" });
    };
    effects.push_back({ .endpoint = "desk-a", .at = limitedAtMs, .what = "limited", .limit = requestLimit });
    addArrivals(limitedAtMs, limitKnownAtMs, 20);
    addArrivals(limitKnownAtMs, unlimitedAtMs, interval);
    effects.push_back({ .endpoint = "desk-a", .at = unlimitedAtMs, .what = "unlimited" });
    addArrivals(unlimitedAtMs, unlimitedAtMs + limitWindowMs, 20);
    return { { "desk-a", effects } };
}

TEST(SoakChecks, LimitedEndpointThatGetsMore)
{
    EXPECT_TRUE(checkLimits(makeLimited(236), {}).isEmpty()) << "17 requests in a window";
    EXPECT_EQ(checkLimits(makeLimited(235), {}).size(), 1) << "18 requests in a window";
    SoakEffects effects = makeLimited(236);
    for (SoakEffect& effect : effects["desk-a"])
        effect.limit /= 2;
    EXPECT_EQ(checkLimits(effects, {}).size(), 1) << "more than a lower limit allows";
    effects = makeLimited(20);
    std::erase_if(effects["desk-a"], [](const SoakEffect& effect) { return effect.what == "limited"; });
    EXPECT_TRUE(checkLimits(effects, {}).isEmpty()) << "it never named its limit";
    effects = makeLimited(20);
    effects["desk-a"].insert(effects["desk-a"].begin() + 1, { .endpoint = "desk-a", .at = limitedAtMs + 1, .what = "started" });
    EXPECT_TRUE(checkLimits(effects, {}).isEmpty()) << "it restarted without a limit";
}

TEST(SoakChecks, LimitChangesToALowerOne)
{
    SoakEffects effects = makeLimited(236);
    SoakEffect lower { .endpoint = "desk-a", .at = 5000, .what = "limited", .limit = requestLimit / 2 };
    std::vector<SoakEffect>& list = effects["desk-a"];
    list.insert(std::find_if(list.begin(), list.end(), [](const SoakEffect& effect) { return effect.at > 5000; }), lower);
    EXPECT_EQ(checkLimits(effects, {}).size(), 1);
}

TEST(SoakChecks, LimitIsExcusedOnlyByFaultsThatMayHideIt)
{
    const SoakEffects effects = makeLimited(100);
    const auto check = [&](const std::string& what, const std::string& kind, qint64 from, qint64 until) {
        return checkLimits(effects, { { .what = what, .kind = kind, .from = from, .until = until } }).size();
    };
    EXPECT_EQ(check("g1", "pause", limitedAtMs, unlimitedAtMs), 0);
    EXPECT_EQ(check("g1", "kill", limitedAtMs, 0), 0) << "still down";
    EXPECT_EQ(check("g1", "store-g1.cut", limitedAtMs, unlimitedAtMs), 0);
    EXPECT_EQ(check("desk-a", "to-desk-a.drop_answers", limitedAtMs, unlimitedAtMs), 0);
    EXPECT_EQ(check("g1", "pause", 0, 900), 1) << "long before";
    EXPECT_EQ(check("g1", "pause", unlimitedAtMs + 1, unlimitedAtMs + 500), 1) << "after it";
    EXPECT_EQ(check("g1", "front-g1.cut", limitedAtMs, unlimitedAtMs), 1) << "between callers and a gateway";
    EXPECT_EQ(check("store", "store.down", limitedAtMs, unlimitedAtMs), 1);
    EXPECT_EQ(check("desk-a", "desk-a.limit", limitedAtMs, unlimitedAtMs), 1) << "the fault that is checked";
}

// An effect that tells nothing of the replica must not hide that its head serves.
TEST(SoakChecks, HeadThatServesAfterItWasLimited)
{
    SoakEffects effects = makeReplica();
    for (const std::string what : { "arrived", "limited", "unlimited" })
        effects["a1"].push_back(makeEffect("a1", 45, what, "", 0));
    effects["a2"].push_back(makeEffect("a2", 50, "joined", "h", 2));
    EXPECT_EQ(checkOneReplica(effects, {}).size(), 1);
}

} // namespace
