// Tests that four gateways under load keep together to the request limits that endpoints name in their answers, with real
// processes: the other endpoints serve the rest, and an endpoint is used as before once it names no limit.

#include "http/StatusCodes.h"
#include "support/SoakChecks.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace hemlockweir {

static constexpr size_t callers = 24;
static constexpr uint64_t seed = 1;
// Requests a second that a limited endpoint names. Each gets more than maxLimitedArrivals() of it without a limit.
static constexpr double requestLimit = 2;
// Time for which endpoints are limited: all gateways know it after 3 s, then two windows are checked.
static constexpr Millis limitedTime { 11000 };
// A limited endpoint gets at least this fraction of what it allows.
static constexpr double minUsedFraction = 0.5;
// Fraction of the requests that must be answered meanwhile.
static constexpr double minAnsweredFraction = 0.98;
// Effects are read at this interval.
static constexpr Millis pollInterval { 500 };
static constexpr size_t limitedHeads = 2;

namespace {

    class RequestLimitProcess : public testing::Test {
    protected:
        // Waits until the condition on the effects holds, under load.
        bool awaitEffects(const std::function<bool(const SoakEffects& effects)>& condition)
        {
            const qint64 end = soakNow() + hangLimit.count();
            while (soakNow() < end) {
                load_.runFor(pollInterval);
                if (condition(readEffects(cluster_)))
                    return true;
            }
            return false;
        }

        // Returns how many requests reached an endpoint within the interval.
        static size_t countArrivals(const std::vector<SoakEffect>& effects, qint64 from, qint64 until)
        {
            return static_cast<size_t>(std::count_if(effects.begin(), effects.end(), [&](const SoakEffect& effect) { return effect.what == "arrived" && effect.at >= from && effect.at < until; }));
        }

        // Returns whether an endpoint got more in the last window than its limit allows, all of it after `from`.
        static bool isBusy(const std::vector<SoakEffect>& effects, qint64 from)
        {
            const qint64 now = soakNow();
            return countArrivals(effects, std::max(from, now - limitWindowMs), now) > maxLimitedArrivals(requestLimit);
        }

        // Returns the heads that are open and busy.
        std::vector<std::string> busyHeads(const SoakEffects& effects) const
        {
            std::vector<std::string> heads;
            for (const std::string& engine : cluster_.engines()) {
                const std::vector<SoakEffect>& list = effects.at(engine);
                const auto last = std::find_if(list.rbegin(), list.rend(), [](const SoakEffect& effect) { return !effect.group.empty(); });
                const bool isOpen = last != list.rend() && (last->what == "open" || last->what == "run");
                if (isOpen && last->members.front() == engine && isBusy(list, 0))
                    heads.push_back(engine);
            }
            return heads;
        }

        // Limits the endpoints for some time, and expects that they get no more than that, that requests with the prefixes are
        // answered all the same, and that the endpoints are used as before afterwards.
        void expectLimited(const std::vector<std::string>& endpoints, const std::vector<std::string>& prefixes)
        {
            const qint64 from = soakNow();
            for (const std::string& endpoint : endpoints)
                cluster_.processes().setFaults(endpoint, { { "limit", requestLimit } });
            load_.runFor(limitedTime);
            const qint64 until = soakNow();
            for (const std::string& endpoint : endpoints)
                cluster_.processes().setFaults(endpoint, { { "limit", 0 } });
            EXPECT_TRUE(awaitEffects([&](const SoakEffects& effects) {
                return std::all_of(endpoints.begin(), endpoints.end(), [&](const std::string& endpoint) { return isBusy(effects.at(endpoint), until); });
            })) << "not used at more than its limit after the limit's end";
            const SoakEffects effects = readEffects(cluster_);
            EXPECT_EQ(checkLimits(effects, {}).join('\n').toStdString(), "");
            for (const std::string& endpoint : endpoints)
                expectUsed(effects.at(endpoint), until);
            expectAnswered(prefixes, from, until);
        }

        // Expects that an endpoint named its limit and was used within it, until its end.
        static void expectUsed(const std::vector<SoakEffect>& effects, qint64 until)
        {
            const auto limited = std::find_if(effects.begin(), effects.end(), [](const SoakEffect& effect) { return effect.what == "limited"; });
            ASSERT_NE(limited, effects.end());
            const double seconds = static_cast<double>(until - limited->at) / 1000;
            EXPECT_GE(static_cast<double>(countArrivals(effects, limited->at, until)), minUsedFraction * requestLimit * seconds) << limited->endpoint;
        }

        void expectAnswered(const std::vector<std::string>& prefixes, qint64 from, qint64 until)
        {
            size_t sent = 0;
            size_t answered = 0;
            for (const SoakRequest& request : load_.ended()) {
                const bool isOfService = std::any_of(prefixes.begin(), prefixes.end(), [&](const std::string& prefix) { return request.path.starts_with(prefix); });
                if (!isOfService || request.sentAt < from || request.sentAt >= until)
                    continue;
                ++sent;
                answered += request.status == statusOk && request.isComplete ? 1 : 0;
            }
            EXPECT_GT(sent, 0U);
            EXPECT_GE(static_cast<double>(answered), minAnsweredFraction * static_cast<double>(sent)) << answered << " of " << sent;
        }

        GatewayCluster cluster_;
        SoakLoad load_ { cluster_, makeSeededRandom(seed), callers };
    };

} // namespace

// Each gateway knows the limit and keeps to it, but not to what the others send.
TEST_F(RequestLimitProcess, PlainEndpointGetsMoreThanItsLimitFromAllGatewaysTogether)
{
    const std::string& limited = cluster_.plainEndpoints().front();
    ASSERT_TRUE(awaitEffects([&](const SoakEffects& effects) { return isBusy(effects.at(limited), 0); })) << "too little load";
    expectLimited({ limited }, { "/look/", "/order/" });
}

// The same for heads of replicas, which get streams.
TEST_F(RequestLimitProcess, HeadsGetMoreThanTheirLimitFromAllGatewaysTogether)
{
    std::vector<std::string> heads;
    ASSERT_TRUE(awaitEffects([&](const SoakEffects& effects) {
        heads = busyHeads(effects);
        return heads.size() > limitedHeads;
    })) << "too little load";
    heads.resize(limitedHeads);
    expectLimited(heads, { "/large/", "/small/" });
}

} // namespace hemlockweir
