// Injects random single and overlapping faults under load, then checks all guarantees against the
// stand-ins' effect logs and the received answers. The seeds are fixed; the environment variable
// HEMLOCKWEIR_SEED replaces them for a manual run.

#include "support/Invariants.h"

#include <QCoreApplication>
#include <QDateTime>
#include <QJsonDocument>
#include <algorithm>
#include <cstdlib>
#include <gtest/gtest.h>
#include <iostream>
#include <set>

namespace hemlockweir {

static constexpr int stepCount = 30;
static constexpr size_t requestsInFlight = 24; // high, because requests to a paused node block
static constexpr size_t requestsPerStep = 5; // requests that finish between two faults
static constexpr int attemptsPerOrder = 3;

namespace {

    struct PendingCompletion {
        SentCompletion sent;
        PendingAnswer pending;
    };

    struct PendingOrder {
        SentOrder sent;
        PendingAnswer pending;
        int attemptsLeft = 0;
    };

    // Keeps a fixed number of requests in flight and records their answers.
    class RequestLoad {
    public:
        RequestLoad(Cluster& cluster, Random random, std::vector<std::string> nodes)
            : cluster_(cluster)
            , random_(std::move(random))
            , nodes_(std::move(nodes))
        {
        }

        // Collects finished requests and, unless draining, sends new ones up to requestsInFlight.
        void collectAndSend()
        {
            for (auto it = completions_.begin(); it != completions_.end();) {
                if (!*it->pending.isDone) {
                    ++it;
                    continue;
                }
                it->sent.answer = *it->pending.answer;
                finishedCompletions.push_back(it->sent);
                ++finishedCount;
                it = completions_.erase(it);
            }
            collectOrders();
            while (!isDraining && completions_.size() + orders_.size() < requestsInFlight) {
                if (random_() % 2 == 0)
                    sendCompletion();
                else
                    sendOrder("order-" + std::to_string(nextNumber_++), attemptsPerOrder);
            }
        }

        bool isIdle() const { return completions_.empty() && orders_.empty(); }

        std::vector<SentCompletion> finishedCompletions;
        std::vector<SentOrder> finishedOrders;
        size_t finishedCount = 0;
        bool isDraining = false;

    private:
        void collectOrders()
        {
            std::vector<PendingOrder> retries;
            for (auto it = orders_.begin(); it != orders_.end();) {
                if (!*it->pending.isDone) {
                    ++it;
                    continue;
                }
                it->sent.answer = *it->pending.answer;
                finishedOrders.push_back(it->sent);
                ++finishedCount;
                if (it->sent.answer.status != 200 && it->attemptsLeft > 1)
                    retries.push_back(*it);
                it = orders_.erase(it);
            }
            for (const PendingOrder& order : retries)
                sendOrder(order.sent.marker, order.attemptsLeft - 1);
        }

        const std::string& randomNode() { return nodes_[random_() % nodes_.size()]; }

        void sendCompletion()
        {
            SentCompletion sent { .marker = "prompt-" + std::to_string(nextNumber_++), .seed = static_cast<int>(random_() % 1000), .maxTokens = 1 + static_cast<int>(random_() % 60), .stream = random_() % 2 == 0 };
            const QJsonObject body { { "model", "m" }, { "prompt", QString::fromStdString(sent.marker) }, { "seed", sent.seed }, { "max_tokens", sent.maxTokens }, { "stream", sent.stream } };
            const std::string url = cluster_.urlOf(randomNode()) + "/v1/completions";
            completions_.push_back({ .sent = sent, .pending = cluster_.start("POST", url, QJsonDocument(body).toJson(), { { "Authorization", "Bearer caller-key" }, { "X-Deadline-Ms", "3000" } }) });
        }

        void sendOrder(const std::string& marker, int attemptsLeft)
        {
            const std::string url = cluster_.urlOf(randomNode()) + "/orders";
            const std::vector<HttpHeader> headers { { "Authorization", "Bearer caller-key" }, { "X-Deadline-Ms", "3000" }, { "Idempotency-Key", QByteArray::fromStdString(marker) } };
            orders_.push_back({ .sent = { .marker = marker }, .pending = cluster_.start("POST", url, QByteArray::fromStdString(marker), headers), .attemptsLeft = attemptsLeft });
        }

        Cluster& cluster_;
        Random random_;
        std::vector<std::string> nodes_;
        std::vector<PendingCompletion> completions_;
        std::vector<PendingOrder> orders_;
        int nextNumber_ = 1;
    };

    // Injects and ends random faults: store faults, and killed or paused processes.
    class FaultInjector {
    public:
        FaultInjector(Cluster& cluster, Random random, std::vector<std::string> targets)
            : cluster_(cluster)
            , random_(std::move(random))
            , targets_(std::move(targets))
        {
        }

        void step()
        {
            constexpr int kinds = 8;
            switch (random_() % kinds) {
            case 0:
                cluster_.setFaults("store", { { "down", random_() % 2 == 0 } });
                return;
            case 1:
                cluster_.setFaults("store", { { "lose_answers", 2 } });
                return;
            case 2:
                cluster_.setFaults("store", { { "delay_ms", static_cast<int>(random_() % 200) } });
                return;
            default:
                toggle(targets_[random_() % targets_.size()]);
            }
        }

        void repairAll()
        {
            cluster_.setFaults("store", { { "down", false }, { "lose_answers", 0 }, { "delay_ms", 0 } });
            for (const std::string& target : targets_) {
                if (killed_.contains(target) || paused_.contains(target))
                    toggle(target);
            }
        }

        std::vector<Outage> outages;

    private:
        static qint64 now() { return QDateTime::currentMSecsSinceEpoch(); }

        void toggle(const std::string& target)
        {
            if (killed_.erase(target) > 0) {
                endOutage(target);
                cluster_.restart(target);
            } else if (paused_.erase(target) > 0) {
                endOutage(target);
                cluster_.resume(target);
            } else if (random_() % 2 == 0) {
                outages.push_back({ .name = target, .from = now() });
                killed_.insert(target);
                cluster_.kill(target);
            } else {
                outages.push_back({ .name = target, .from = now() });
                paused_.insert(target);
                cluster_.pause(target);
            }
        }

        void endOutage(const std::string& target)
        {
            for (Outage& outage : outages) {
                if (outage.name == target && outage.until == 0)
                    outage.until = now();
            }
        }

        Cluster& cluster_;
        Random random_;
        std::vector<std::string> targets_;
        std::set<std::string> killed_;
        std::set<std::string> paused_;
    };

    class Chaos : public testing::TestWithParam<uint64_t> { };

} // namespace

TEST_P(Chaos, EveryPromiseHolds)
{
    const char* seedFromEnvironment = std::getenv("HEMLOCKWEIR_SEED");
    const uint64_t seed = seedFromEnvironment ? std::strtoull(seedFromEnvironment, nullptr, 10) : GetParam();
    std::cout << "seed " << seed << '\n';
    const Random random = makeSeededRandom(seed);

    Cluster cluster;
    cluster.startStore();
    cluster.startEngines({ .count = 4, .domain = "a", .fabric = "a1" });
    cluster.startEngines({ .count = 4, .domain = "b", .fabric = "b1" });
    const std::vector<std::string> engines { "a1-1", "a1-2", "a1-3", "a1-4", "b1-1", "b1-2", "b1-3", "b1-4" };
    const std::vector<std::string> services { "o1", "o2" };
    const std::vector<std::string> nodes { "n1", "n2", "n3" };
    cluster.startService("o1", "a", "orders");
    cluster.startService("o2", "b", "orders");
    cluster.startNode({ .name = "n1", .domain = "a", .seeds = { "n2", "n3" } });
    cluster.startNode({ .name = "n2", .domain = "b", .seeds = { "n1", "n3" } });
    cluster.startNode({ .name = "n3", .domain = "b", .seeds = { "n1", "n2" } });
    ASSERT_EQ(cluster.publish(makeServiceFile(2)), 0);
    ASSERT_TRUE(cluster.waitForGroups("n1", 2));
    ASSERT_TRUE(cluster.waitForGroups("n2", 2));

    std::vector<std::string> targets = engines;
    targets.insert(targets.end(), services.begin(), services.end());
    targets.insert(targets.end(), nodes.begin(), nodes.end());
    RequestLoad load(cluster, random, nodes);
    FaultInjector faults(cluster, random, targets);
    for (int step = 0; step < stepCount; ++step) {
        faults.step();
        const size_t targetCount = load.finishedCount + requestsPerStep;
        // While all nodes are paused, no request finishes; the timeout then starts the next step.
        waitUntil([&] { load.collectAndSend(); return load.finishedCount >= targetCount; }, Millis(500));
    }
    faults.repairAll();
    load.isDraining = true;
    EXPECT_TRUE(waitUntil([&] { load.collectAndSend(); return load.isIdle(); }, hangLimit * 2)) << "requests are still pending after all faults were repaired";
    for (const std::string& node : nodes)
        EXPECT_TRUE(waitUntil([&] { return cluster.requestCompletion(node, { .maxTokens = 2 }).status == 200; })) << node << " does not complete a request after all faults were repaired";
    EXPECT_TRUE(cluster.waitForGroups("n1", 2));
    EXPECT_TRUE(cluster.waitForGroups("n2", 2));

    EXPECT_EQ(checkCompleteAnswers(load.finishedCompletions).join('\n').toStdString(), "");
    EXPECT_EQ(checkNotRun(cluster, engines, services, load.finishedCompletions, load.finishedOrders).join('\n').toStdString(), "");
    EXPECT_EQ(checkAtMostOnce(cluster, services).join('\n').toStdString(), "");
    EXPECT_EQ(checkCompleteGroups(cluster, engines, faults.outages).join('\n').toStdString(), "");
    EXPECT_EQ(checkRevisionsIncrease(cluster, nodes).join('\n').toStdString(), "");
    std::cout << load.finishedCompletions.size() << " completions and " << load.finishedOrders.size() << " order attempts finished\n";
}

INSTANTIATE_TEST_SUITE_P(FixedSeeds, Chaos, testing::Values(1, 2, 3));

} // namespace hemlockweir
