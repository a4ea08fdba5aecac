// Soak test of the gateway: runs real processes under load, injects overlapping faults from outside, and checks
// invariants on what callers received and what endpoints did. Seeds that have failed before stay in the list below,
// with their causes. HEMLOCKWEIR_SEED selects another seed, HEMLOCKWEIR_LOGS saves all logs of a run in a folder, and
// scripts/soak runs many seeds.

#include "http/StatusCodes.h"
#include "support/SoakChecks.h"

#include <cstdlib>
#include <gtest/gtest.h>
#include <iostream>

namespace hemlockweir {

static constexpr size_t callers = 16;
static constexpr qint64 faultPhaseMs = 8000;
// Time within which all requests must be served again after the last fault.
static constexpr Millis recoveryTime { 12000 };
// Time within which a version must be in force after the store acknowledged it, on a healthy node and on one that
// can't reach the store.
static constexpr Millis versionTime { 2000 };
static constexpr Millis isolatedVersionTime { 5000 };
// A stopping node must answer all requests that arrive within this time, and finish every answer that it begins. The
// balancer polls once a second and sends no new requests after two failures.
static constexpr qint64 acceptAfterStopMs = 3000;
// Time after which a leaving endpoint must get no new requests, from the store's acknowledgement that it leaves.
static constexpr qint64 leavingDelayMs = 2000;
// Time without faults before the configuration change is tested.
static constexpr Millis quietTime { 3000 };
// Time for which killed gateways are away.
static constexpr Millis killTime { 500 };
// Maximum number of engines that one request may crash: three, and those on which it ran at the same time.
static constexpr int maxCrashes = 4;
// Maximum number of engines that different requests with one part may crash, and of those that they may reach afterwards.
static constexpr int maxPartCrashes = 5;
static constexpr int maxLateRuns = 3;

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

        // Waits until all gateways serve requests, before any fault.
        void waitForService() { EXPECT_TRUE(servesAll(recoveryTime)) << "not served after the start"; }

        // Injects random faults and configuration changes under load.
        void injectFaults()
        {
            const qint64 end = soakNow() + faultPhaseMs;
            qint64 nextFault = soakNow();
            qint64 nextVersion = soakNow() + 1000;
            while (soakNow() < end) {
                runLoad(Millis(10));
                if (soakNow() >= nextFault) {
                    faults_.injectRandom();
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

        // Waits until all gateways are ready and serve requests again.
        void recover()
        {
            EXPECT_TRUE(load_.runUntil([&] { faults_.update(); return std::all_of(cluster_.gateways().begin(), cluster_.gateways().end(), [&](const std::string& gateway) { return cluster_.isReady(gateway); }); })) << "a gateway did not become ready again";
            EXPECT_TRUE(servesAll(recoveryTime)) << "not served after all faults ended";
        }

        // Checks that a new version is in force at all gateways in time.
        void changeConfiguration()
        {
            runLoad(quietTime);
            const uint64_t version = cluster_.publish();
            runLoad(versionTime);
            for (const std::string& gateway : cluster_.gateways())
                EXPECT_EQ(requestVersion(gateway, version).status, statusOk) << "version " << version << " is not in force at " << gateway;
        }

        // Checks that a gateway that can't reach the store gets a new version from the other gateways.
        void changeConfigurationOfIsolatedGateway()
        {
            const std::string gateway = randomGateway();
            faults_.cutStoreLink(gateway);
            runLoad(versionTime); // until the gateway has detected the cut link
            const uint64_t version = cluster_.publish();
            runLoad(isolatedVersionTime);
            EXPECT_EQ(requestVersion(gateway, version).status, statusOk) << "version " << version << " is not in force at " << gateway << ", which can't reach the store";
            faults_.clearAll();
        }

        // Checks that a graceful shutdown interrupts no request.
        void stopGateway()
        {
            EXPECT_TRUE(servesAll(recoveryTime));
            const std::string gateway = randomGateway();
            const qint64 from = soakNow();
            cluster_.processes().terminate(gateway);
            EXPECT_TRUE(load_.runUntil([&] { return !cluster_.processes().isRunning(gateway); })) << "a graceful shutdown does not finish";
            for (const SoakRequest& request : load_.ended()) {
                const bool isExpected = request.sentAt <= from + acceptAfterStopMs || request.status != 0;
                const bool isAffected = request.gateway == gateway && request.endedAt >= from && isExpected;
                EXPECT_TRUE(!isAffected || request.isComplete) << request.id << " " << request.path << " was interrupted by a graceful shutdown, sent " << request.sentAt - from << " ms after it began, ended " << request.endedAt - from << " ms after";
            }
            faults_.update();
        }

        // Checks that a leaving engine gets no new requests after some time.
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
                EXPECT_FALSE(effect.what == "run" && effect.at > leaving->at + leavingDelayMs) << engine << " got " << effect.request << " " << effect.at - leaving->at << " ms after it announced that it leaves";
            faults_.update();
        }

        // Checks that a request that crashes engines is blocked, even if it is sent to different gateways.
        void sendCrashingRequest()
        {
            EXPECT_TRUE(servesAll(recoveryTime));
            EXPECT_LE(sendCrashing([](SoakRequest& request) { request.body = "poison"; }), maxCrashes) << "one request crashed too many engines";
        }

        // Checks that different requests that share a part which crashes engines are blocked, also after a kill of all gateways.
        void sendCrashingPart()
        {
            EXPECT_TRUE(servesAll(recoveryTime));
            const auto addPart = [](SoakRequest& request) {
                request.body = "poison of " + request.id;
                request.sharedParts += ",bad0:200";
            };
            EXPECT_LE(sendCrashing(addPart), maxPartCrashes) << "requests with one part crashed too many engines";
            for (const std::string& gateway : cluster_.gateways())
                faults_.kill(gateway, killTime);
            recover();
            EXPECT_LE(sendCrashing(addPart), maxLateRuns) << "requests with a part that was blocked reached engines after a kill of all gateways";
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
            expectNone(checkLimits(effects, faults_.intervals()));
            const auto completeCount = std::count_if(requests.begin(), requests.end(), [](const SoakRequest& request) { return request.status == statusOk && request.isComplete; });
            std::cout << requests.size() << " requests, " << completeCount << " answered whole, " << faults_.intervals().size() << " faults\n";
        }

    private:
        // Sends requests that crash engines to different gateways, one after the other, and returns how often they ran. `change` makes an
        // ordinary request one that does.
        int sendCrashing(const std::function<void(SoakRequest&)>& change)
        {
            constexpr int sends = 8;
            std::set<std::string> ids;
            for (int i = 0; i < sends; ++i) {
                SoakRequest request = load_.makeRequest("/large/1", randomGateway());
                request.key = "key-1";
                change(request);
                ids.insert(request.id);
                load_.sendAndWait(std::move(request));
                runLoad(Millis(300));
            }
            int runs = 0;
            for (const auto& [endpoint, effects] : readEffects(cluster_))
                runs += static_cast<int>(std::count_if(effects.begin(), effects.end(), [&](const SoakEffect& effect) { return effect.what == "run" && ids.count(effect.request) > 0; }));
            return runs;
        }

        const std::string& randomGateway() { return cluster_.gateways()[random_() % cluster_.gateways().size()]; }

        static void expectNone(const QStringList& violations) { EXPECT_EQ(violations.mid(0, 5).join('\n').toStdString(), "") << violations.size() << " in all"; }

        SoakRequest requestVersion(const std::string& gateway, uint64_t version) { return load_.sendAndWait(load_.makeRequest(SoakConfiguration::pathOf(version), gateway)); }
        void requestRecentVersion(const std::string& gateway) { requestVersion(gateway, cluster_.version() - random_() % 2); }

        // Runs the load for some time, ends expired faults and restarts processes that have exited.
        void runLoad(Millis time)
        {
            const qint64 end = soakNow() + time.count();
            load_.runUntil([&] { faults_.update(); return soakNow() >= end; });
        }

        // Returns whether each gateway serves each kind of request within the time.
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
    soak.waitForService();
    soak.injectFaults();
    soak.recover();
    soak.changeConfiguration();
    soak.changeConfigurationOfIsolatedGateway();
    soak.stopGateway();
    soak.drainEngine();
    soak.sendCrashingRequest();
    soak.sendCrashingPart();
    soak.checkPromises();
}

// Causes of past failures: 1, 2, 4 and 5: a request was dropped during a graceful shutdown; 1 also: a planner without
// a lease; 19: a model was left with one replica; 15, 18, 24 and 28: bytes were reordered in the proxy.
INSTANTIATE_TEST_SUITE_P(FixedSeeds, GatewaySoak, testing::Values(1, 2, 4, 5, 15, 18, 19, 24, 28));

} // namespace hemlockweir
