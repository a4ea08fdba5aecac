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
static constexpr qint64 chaosMs = 8000;
// After the last fault everything must be served again.
static constexpr Millis recoveryTime { 12000 };
// A version is in force so long after the store acknowledged it, on a node in good order and on one that the
// store does not answer.
static constexpr Millis versionTime { 2000 };
static constexpr Millis versionTimeAlone { 5000 };
// A node that stops as planned answers what comes within this time: the balancer sends it nothing new after two
// missed questions, of one a second.
static constexpr qint64 stopMs = 3000;
// A leaving endpoint gets nothing new so long after the store acknowledged that it leaves.
static constexpr qint64 leavingMs = 2000;
// Nothing has been broken for so long when a calm phase begins.
static constexpr Millis calmTime { 3000 };
// Engines that one request may crash: three, and those on which it ran at the same time.
static constexpr int mostCrashes = 4;

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
        void rage()
        {
            const qint64 end = soakNow() + chaosMs;
            qint64 nextFault = soakNow();
            qint64 nextVersion = soakNow() + 1000;
            while (soakNow() < end) {
                passTime(Millis(10));
                if (soakNow() >= nextFault) {
                    faults_.begin();
                    nextFault = soakNow() + 100 + static_cast<qint64>(random_() % 600);
                }
                if (soakNow() >= nextVersion) {
                    cluster_.publish();
                    nextVersion = soakNow() + 500 + static_cast<qint64>(random_() % 2000);
                }
                if (random_() % 8 == 0)
                    askVersion(anyGateway());
            }
            faults_.mendAll();
        }

        void recover()
        {
            EXPECT_TRUE(load_.turnUntil([&] { faults_.turn(); return std::all_of(cluster_.gateways().begin(), cluster_.gateways().end(), [&](const std::string& gateway) { return cluster_.isReady(gateway); }); })) << "a gateway does not come back";
            EXPECT_TRUE(servesAll(recoveryTime)) << "not served after everything was mended";
        }

        // A version is in force everywhere in time.
        void changeConfiguration()
        {
            passTime(calmTime);
            const uint64_t version = cluster_.publish();
            passTime(versionTime);
            for (const std::string& gateway : cluster_.gateways())
                EXPECT_EQ(askFor(gateway, version).status, statusOk) << "version " << version << " is not in force at " << gateway;
        }

        // A gateway that the store does not answer learns of a version from the others.
        void changeConfigurationOfOneAlone()
        {
            const std::string gateway = anyGateway();
            faults_.cutStoreLink(gateway);
            passTime(versionTime); // until it must have noticed
            const uint64_t version = cluster_.publish();
            passTime(versionTimeAlone);
            EXPECT_EQ(askFor(gateway, version).status, statusOk) << "version " << version << " is not in force at " << gateway << ", which the store does not answer";
            faults_.mendAll();
        }

        // A planned stop cuts off nothing.
        void stopOne()
        {
            EXPECT_TRUE(servesAll(recoveryTime));
            const std::string gateway = anyGateway();
            const qint64 from = soakNow();
            cluster_.processes().terminate(gateway);
            EXPECT_TRUE(load_.turnUntil([&] { return !cluster_.processes().isRunning(gateway); })) << "a planned stop does not end";
            for (const SoakRequest& request : load_.ended()) {
                const bool concerns = request.gateway == gateway && request.endedAt >= from && request.sentAt <= from + stopMs;
                EXPECT_TRUE(!concerns || request.isComplete) << request.id << " " << request.path << " was cut off by a planned stop, sent " << request.sentAt - from << " ms after it began, ended " << request.endedAt - from << " ms after";
            }
            faults_.turn();
        }

        // An endpoint that leaves gets nothing new after a while.
        void leaveOne()
        {
            EXPECT_TRUE(servesAll(recoveryTime));
            const std::string engine = cluster_.engines()[random_() % cluster_.engines().size()];
            cluster_.processes().setFaults(engine, { { "leave", true } });
            load_.turnUntil([&] { return !cluster_.processes().isRunning(engine); });
            const std::vector<SoakEffect> effects = readEffects(cluster_).at(engine);
            const auto leaving = std::find_if(effects.rbegin(), effects.rend(), [](const SoakEffect& effect) { return effect.what == "leaving"; });
            ASSERT_NE(leaving, effects.rend());
            for (const SoakEffect& effect : effects)
                EXPECT_FALSE(effect.what == "run" && effect.at > leaving->at + leavingMs) << engine << " got " << effect.request << " " << effect.at - leaving->at << " ms after it said that it leaves";
            faults_.turn();
        }

        // A request that crashes what runs it is found out, whichever gateway it comes to.
        void crash()
        {
            EXPECT_TRUE(servesAll(recoveryTime));
            constexpr int sends = 8;
            std::set<std::string> ids;
            for (int i = 0; i < sends; ++i) {
                SoakRequest request = load_.makeRequest("/large/1", anyGateway());
                request.body = "poison";
                request.key = "key-1";
                ids.insert(request.id);
                request = load_.ask(std::move(request));
                passTime(Millis(300));
            }
            int crashes = 0;
            for (const auto& [endpoint, effects] : readEffects(cluster_))
                crashes += static_cast<int>(std::count_if(effects.begin(), effects.end(), [&](const SoakEffect& effect) { return effect.what == "run" && ids.count(effect.request) > 0; }));
            EXPECT_LE(crashes, mostCrashes) << "one request went on to crash engines";
        }

        void check()
        {
            load_.pause();
            EXPECT_TRUE(load_.turnUntil([&] { return load_.isIdle(); })) << "requests hang";
            const std::vector<SoakRequest>& requests = load_.ended();
            const SoakEffects effects = readEffects(cluster_);
            expectNone(checkAnswers(requests));
            expectNone(checkRunsOnce(requests, effects));
            expectNone(checkRefusals(requests, effects));
            expectNone(checkWholeReplicas(effects));
            expectNone(checkOneReplica(effects, faults_.troubles()));
            expectNone(checkEnds(requests, faults_.troubles()));
            expectNone(checkVersions(requests, faults_.troubles()));
            const auto whole = std::count_if(requests.begin(), requests.end(), [](const SoakRequest& request) { return request.status == statusOk && request.isComplete; });
            std::cout << requests.size() << " requests, " << whole << " answered whole, " << faults_.troubles().size() << " faults\n";
        }

    private:
        const std::string& anyGateway() { return cluster_.gateways()[random_() % cluster_.gateways().size()]; }

        static void expectNone(const QStringList& broken) { EXPECT_EQ(broken.mid(0, 5).join('\n').toStdString(), "") << broken.size() << " in all"; }

        SoakRequest askFor(const std::string& gateway, uint64_t version) { return load_.ask(load_.makeRequest(SoakConfiguration::pathOf(version), gateway)); }
        void askVersion(const std::string& gateway) { askFor(gateway, cluster_.version() - random_() % 2); }

        // Lets the load run, ends faults that are over and starts again what ended.
        void passTime(Millis time)
        {
            const qint64 end = soakNow() + time.count();
            load_.turnUntil([&] { faults_.turn(); return soakNow() >= end; });
        }

        // Whether each gateway serves each kind of request within the time.
        bool servesAll(Millis time)
        {
            const qint64 end = soakNow() + time.count();
            for (const std::string& gateway : cluster_.gateways()) {
                for (const std::string path : { "/large/1", "/small/1", "/order/1", "/look/1" }) {
                    while (load_.ask(load_.makeRequest(path, gateway)).status != statusOk) {
                        if (soakNow() > end)
                            return false;
                        passTime(Millis(20));
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
    const char* byHand = std::getenv("HEMLOCKWEIR_SEED");
    const uint64_t seed = byHand ? std::strtoull(byHand, nullptr, 10) : GetParam();
    std::cout << "seed " << seed << '\n';
    Soak soak(seed);
    soak.begin();
    soak.rage();
    soak.recover();
    soak.changeConfiguration();
    soak.changeConfigurationOfOneAlone();
    soak.stopOne();
    soak.leaveOne();
    soak.crash();
    soak.check();
}

// Seeds that failed once: 1, 2, 4 and 5 by a request thrown away at a planned stop, 1 also by a planner without a
// lease, 19 by a model left with one replica, 15, 18, 24 and 28 by bytes out of order in the proxy.
INSTANTIATE_TEST_SUITE_P(FixedSeeds, GatewaySoak, testing::Values(1, 2, 4, 5, 15, 18, 19, 24, 28));

} // namespace hemlockweir
