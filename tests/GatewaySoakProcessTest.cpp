// A soak of the gateway: real processes, faults from outside in series and overlapping, and the promises checked
// from what callers received and what endpoints did. Seeds that ever failed stay in the list below, each with its
// cause. HEMLOCKWEIR_SEED runs another seed by hand, HEMLOCKWEIR_LOGS keeps all logs of a run in a folder;
// scripts/soak runs many.

#include "http/StatusCodes.h"
#include "support/SoakChecks.h"

#include <cstdlib>
#include <gtest/gtest.h>
#include <iostream>

namespace hemlockweir {

static constexpr size_t callers = 16;
static constexpr qint64 faultPhaseMs = 8000;
// After the last fault everything must be served again.
static constexpr Millis recoveryTime { 12000 };
// A version is in force so long after the store acknowledged it, on a node in good order and on one that the
// store does not answer.
static constexpr Millis versionTime { 2000 };
static constexpr Millis isolatedVersionTime { 5000 };
// A node that stops as planned answers what comes within this time: the balancer sends it nothing new after two
// missed questions, of one a second.
static constexpr qint64 acceptAfterStopMs = 3000;
// A leaving endpoint gets nothing new so long after the store acknowledged that it leaves.
static constexpr qint64 leavingDelayMs = 2000;
// Nothing has been violations for so long when a calm phase begins.
static constexpr Millis quietTime { 3000 };
// Engines that one request may sendCrashingRequest: three, and those on which it ran at the same time.
static constexpr int maxCrashes = 4;

namespace {

    class Soak {
    public:
        explicit Soak(uint64_t seed)
            : random_(makeSeededRandom(seed))
            , load_(cluster_, random_, callers)
            , faults_(cluster_, random_)
        {
        }

        ~Soak()
        {
            if (const char* folder = std::getenv("HEMLOCKWEIR_LOGS"))
                cluster_.processes().saveLogs(folder);
        }

        // Serves, from the start, before any fault.
        void begin() { EXPECT_TRUE(servesAll(recoveryTime)) << "not served after the start"; }

        // Faults at random under load, and changes of the configuration.
        void injectFaults()
        {
            const qint64 end = soakNow() + faultPhaseMs;
            qint64 nextFault = soakNow();
            qint64 nextVersion = soakNow() + 1000;
            while (soakNow() < end) {
                runLoad(Millis(10));
                if (soakNow() >= nextFault) {
                    faults_.begin();
                    nextFault = soakNow() + 100 + static_cast<qint64>(random_() % 600);
                }
                if (soakNow() >= nextVersion) {
                    cluster_.publish();
                    nextVersion = soakNow() + 500 + static_cast<qint64>(random_() % 2000);
                }
                if (random_() % 8 == 0)
                    requestRecentVersion(randomGateway());
            }
            faults_.clearAll();
        }

        void recover()
        {
            EXPECT_TRUE(load_.runUntil([&] { faults_.update(); return std::all_of(cluster_.gateways().begin(), cluster_.gateways().end(), [&](const std::string& gateway) { return cluster_.isReady(gateway); }); })) << "a gateway does not come back";
            EXPECT_TRUE(servesAll(recoveryTime)) << "not served after everything was mended";
        }

        // A version is in force everywhere in time.
        void changeConfiguration()
        {
            runLoad(quietTime);
            const uint64_t version = cluster_.publish();
            runLoad(versionTime);
            for (const std::string& gateway : cluster_.gateways())
                EXPECT_EQ(requestVersion(gateway, version).status, statusOk) << "version " << version << " is not in force at " << gateway;
        }

        // A gateway that the store does not answer learns of a version from the others.
        void changeConfigurationOfIsolatedGateway()
        {
            const std::string gateway = randomGateway();
            faults_.cutStoreLink(gateway);
            runLoad(versionTime); // until it must have noticed
            const uint64_t version = cluster_.publish();
            runLoad(isolatedVersionTime);
            EXPECT_EQ(requestVersion(gateway, version).status, statusOk) << "version " << version << " is not in force at " << gateway << ", which the store does not answer";
            faults_.clearAll();
        }

        // A planned stop cuts off nothing.
        void stopGateway()
        {
            EXPECT_TRUE(servesAll(recoveryTime));
            const std::string gateway = randomGateway();
            const qint64 from = soakNow();
            cluster_.processes().terminate(gateway);
            EXPECT_TRUE(load_.runUntil([&] { return !cluster_.processes().isRunning(gateway); })) << "a planned stop does not end";
            for (const SoakRequest& request : load_.ended()) {
                const bool isAffected = request.gateway == gateway && request.endedAt >= from && request.sentAt <= from + acceptAfterStopMs;
                EXPECT_TRUE(!isAffected || request.isComplete) << request.id << " " << request.path << " was cut off by a planned stop, sent " << request.sentAt - from << " ms after it began, ended " << request.endedAt - from << " ms after";
            }
            faults_.update();
        }

        // An endpoint that leaves gets nothing new after a while.
        void drainEngine()
        {
            EXPECT_TRUE(servesAll(recoveryTime));
            const std::string engine = cluster_.engines()[random_() % cluster_.engines().size()];
            cluster_.processes().setFaults(engine, { { "leave", true } });
            load_.runUntil([&] { return !cluster_.processes().isRunning(engine); });
            const std::vector<SoakEffect> effects = readEffects(cluster_).at(engine);
            const auto leaving = std::find_if(effects.rbegin(), effects.rend(), [](const SoakEffect& effect) { return effect.what == "leaving"; });
            ASSERT_NE(leaving, effects.rend());
            for (const SoakEffect& effect : effects)
                EXPECT_FALSE(effect.what == "run" && effect.at > leaving->at + leavingDelayMs) << engine << " got " << effect.request << " " << effect.at - leaving->at << " ms after it said that it leaves";
            faults_.update();
        }

        // A request that crashes what runs it is found out, whichever gateway it comes to.
        void sendCrashingRequest()
        {
            EXPECT_TRUE(servesAll(recoveryTime));
            constexpr int sends = 8;
            std::set<std::string> ids;
            for (int i = 0; i < sends; ++i) {
                SoakRequest request = load_.makeRequest("/large/1", randomGateway());
                request.body = "poison";
                request.key = "key-1";
                ids.insert(request.id);
                request = load_.sendAndWait(std::move(request));
                runLoad(Millis(300));
            }
            int crashes = 0;
            for (const auto& [endpoint, effects] : readEffects(cluster_))
                crashes += static_cast<int>(std::count_if(effects.begin(), effects.end(), [&](const SoakEffect& effect) { return effect.what == "run" && ids.count(effect.request) > 0; }));
            EXPECT_LE(crashes, maxCrashes) << "one request went on to crash engines";
        }

        void checkPromises()
        {
            load_.pause();
            EXPECT_TRUE(load_.runUntil([&] { return load_.isIdle(); })) << "requests hang";
            const std::vector<SoakRequest>& requests = load_.ended();
            const SoakEffects effects = readEffects(cluster_);
            expectNone(checkAnswers(requests));
            expectNone(checkRunsOnce(requests, effects));
            expectNone(checkRefusals(requests, effects));
            expectNone(checkWholeReplicas(effects));
            expectNone(checkOneReplica(effects, faults_.intervals()));
            expectNone(checkDeadlines(requests, faults_.intervals()));
            expectNone(checkVersions(requests, faults_.intervals()));
            const auto completeCount = std::count_if(requests.begin(), requests.end(), [](const SoakRequest& request) { return request.status == statusOk && request.isComplete; });
            std::cout << requests.size() << " requests, " << completeCount << " answered whole, " << faults_.intervals().size() << " faults\n";
        }

    private:
        const std::string& randomGateway() { return cluster_.gateways()[random_() % cluster_.gateways().size()]; }

        static void expectNone(const QStringList& violations) { EXPECT_EQ(violations.mid(0, 5).join('\n').toStdString(), "") << violations.size() << " in all"; }

        SoakRequest requestVersion(const std::string& gateway, uint64_t version) { return load_.sendAndWait(load_.makeRequest(SoakConfiguration::pathOf(version), gateway)); }
        void requestRecentVersion(const std::string& gateway) { requestVersion(gateway, cluster_.version() - random_() % 2); }

        // Lets the load run, ends faults that are over and starts again what ended.
        void runLoad(Millis time)
        {
            const qint64 end = soakNow() + time.count();
            load_.runUntil([&] { faults_.update(); return soakNow() >= end; });
        }

        // Whether each gateway serves each kind of request within the time.
        bool servesAll(Millis time)
        {
            const qint64 end = soakNow() + time.count();
            for (const std::string& gateway : cluster_.gateways()) {
                for (const std::string path : { "/large/1", "/small/1", "/order/1", "/look/1" }) {
                    while (load_.sendAndWait(load_.makeRequest(path, gateway)).status != statusOk) {
                        if (soakNow() > end)
                            return false;
                        runLoad(Millis(20));
                    }
                }
            }
            return true;
        }

        GatewayCluster cluster_;
        Random random_;
        SoakLoad load_;
        SoakFaults faults_;
    };

    class GatewaySoak : public testing::TestWithParam<uint64_t> { };

} // namespace

TEST_P(GatewaySoak, EveryPromiseHolds)
{
    const char* seedOverride = std::getenv("HEMLOCKWEIR_SEED");
    const uint64_t seed = seedOverride ? std::strtoull(seedOverride, nullptr, 10) : GetParam();
    std::cout << "seed " << seed << '\n';
    Soak soak(seed);
    soak.begin();
    soak.injectFaults();
    soak.recover();
    soak.changeConfiguration();
    soak.changeConfigurationOfIsolatedGateway();
    soak.stopGateway();
    soak.drainEngine();
    soak.sendCrashingRequest();
    soak.checkPromises();
}

// Seeds that failed once: 1, 2, 4 and 5 by a request thrown away at a planned stop, 1 also by a planner without a
// lease, 19 by a model left with one replica, 15, 18, 24 and 28 by bytes out of order in the proxy.
INSTANTIATE_TEST_SUITE_P(FixedSeeds, GatewaySoak, testing::Values(1, 2, 4, 5, 15, 18, 19, 24, 28));

} // namespace hemlockweir
