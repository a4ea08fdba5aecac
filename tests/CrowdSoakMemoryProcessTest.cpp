// Soak test of both kinds of nodes beside clients that don't keep the limits: the clients use their connections until the process is
// gone, while signals, restarts and changes of the configuration come in series and overlap. HEMLOCKWEIR_SEED selects another seed,
// HEMLOCKWEIR_LOGS saves all logs of a run in a folder, and scripts/soak runs many seeds.

#include "support/CallerMemory.h"
#include "support/ClientCrowd.h"
#include "support/ProcessMemory.h"

#include <QCoreApplication>
#include <QDateTime>
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>

namespace hemlockweir {

namespace {

    constexpr size_t crowdSize = 120;
    constexpr qint64 phaseMs = 8000; // with signals and changes
    constexpr qint64 maxDescriptors = 256; // by the settings of the gateways and the limit of the processes
    // Some seeds run as many nodes as a machine with eight processors bears.
    constexpr uint64_t manyNodesEvery = 10;
    constexpr int fewNodes = 2;
    constexpr int manyNodes = 24;

    // A node under test.
    struct Node {
        std::string name;
        bool isGateway = false;
        qint64 memoryAtRest = 0;
        bool isEnding = false; // it got SIGTERM
        bool isPaused = false;
        bool isOverBound = false; // it was reported to take too much memory
        qint64 resumeAt = 0;
    };

    class CrowdSoakRun {
    public:
        explicit CrowdSoakRun(uint64_t seed)
            : random_(makeSeededRandom(seed))
            , nodesOfEachKind_(seed % manyNodesEvery == 0 ? manyNodes : fewNodes)
        {
            cluster_.disableAsanQuarantine();
            cluster_.limitDescriptors(maxDescriptors);
            startGateways();
            startNodes();
            for (Node& node : nodes_)
                node.memoryAtRest = memoryOfProcess(cluster_.pidOf(node.name), "VmRSS");
        }

        ~CrowdSoakRun()
        {
            if (const char* folder = std::getenv("HEMLOCKWEIR_LOGS"))
                cluster_.saveLogs(folder);
        }

        // Sends signals and changes the configuration beside the clients.
        void disturb()
        {
            ClientCrowd crowd(addresses(), random_, crowdSize * static_cast<size_t>(nodesOfEachKind_) / fewNodes);
            const qint64 end = now() + phaseMs;
            qint64 nextAt = now();
            while (now() < end) {
                crowd.update();
                QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
                update();
                if (now() < nextAt)
                    continue;
                act(nodes_[random_() % nodes_.size()]);
                nextAt = now() + static_cast<qint64>(random_() % 300);
            }
            EXPECT_TRUE(waitUntil([&] { crowd.update(); update(); return std::none_of(nodes_.begin(), nodes_.end(), [](const Node& node) { return node.isEnding || node.isPaused; }); })) << "a node does not end";
            for (const Node& node : nodes_)
                EXPECT_TRUE(waitUntil([&] { crowd.update(); update(); return isOrdinaryRequestAnswered(node); })) << node.name << " answers no ordinary request beside the clients";
            std::cout << nodes_.size() << " nodes, " << crowd.connectionCount() << " connections, " << actions_ << " actions, " << restarts_ << " restarts, highest memory above rest " << highestMemory_ / mebibyte << " MB\n";
        }

    private:
        static qint64 now() { return QDateTime::currentMSecsSinceEpoch(); }

        void startGateways()
        {
            cluster_.startProgram("kv", "standin-kvstore", { "--listen", QString::fromStdString(cluster_.addressOf("kv")) }, cluster_.urlOf("kv") + "/effects");
            const QString member = QString::fromStdString(cluster_.addressOf("member"));
            cluster_.startProgram("member", "standin-member", { "--listen", member, "--id", "member", "--zone", "a", "--service", "desk", "--store", QString::fromStdString(cluster_.addressOf("kv")), "--advertised", member, "--plain" }, cluster_.urlOf("member") + "/effects");
            for (int i = 1; i <= nodesOfEachKind_; ++i) {
                const std::string name = "g" + std::to_string(i);
                const std::string settings = "[gateway]\nnode = \"" + name + "\"\nfailure_domain = \"a\"\ncallers = \"" + cluster_.addressOf(name) + "\"\nready = \"" + cluster_.addressOf(name + ".ready") + "\"\ncontrol = \"" + cluster_.addressOf(name + ".control") + "\"\npeers = \""
                    + cluster_.addressOf(name + ".peers") + "\"\nfirst_start = true\n\n[gateway.platform]\nstore = \"" + cluster_.addressOf("kv") + "\"\n\n[gateway.stop]\ngrace_ms = 2000\n\n[gateway.memory]\nmemory_mb = 32\nmax_open_files = " + std::to_string(maxDescriptors) + "\n";
                cluster_.startProgram(name, "hemlockweir", { "--settings", cluster_.writeFile(name + ".toml", settings) }, "http://" + cluster_.addressOf(name + ".control") + "/metrics");
                nodes_.push_back({ .name = name, .isGateway = true });
            }
            publishRoutes();
            for (const Node& node : nodes_)
                EXPECT_TRUE(waitUntil([&] { return isOrdinaryRequestAnswered(node); }));
        }

        void startNodes()
        {
            cluster_.startStore();
            cluster_.startService("service", "a", "orders");
            for (int i = 1; i <= nodesOfEachKind_; ++i) {
                const std::string name = "n" + std::to_string(i);
                cluster_.startNode({ .name = name, .domain = "a", .seeds = { "n1" }, .settings = "[limits]\nbody_bytes = 1048576\ncaller_memory_bytes = 8388608\nrequest_timeout_ms = 3000\nidle_timeout_ms = 15000\n\n[timing]\nshutdown_quiet_ms = 100\n" });
                nodes_.push_back({ .name = name });
            }
            EXPECT_EQ(cluster_.publish(makeServiceFile(2)), 0);
            for (const Node& node : nodes_)
                EXPECT_TRUE(waitUntil([&] { return isOrdinaryRequestAnswered(node); }));
        }

        // Writes the next version of the gateways' configuration, with other limits.
        void publishRoutes()
        {
            ++version_;
            const QByteArray configuration = QString(R"({"version":%1,"routes":[{"name":"look","host":"soak.test","prefix":"/","service":"desk","kind":"safe","timeout_ms":5000,"target_latency_ms":1000,"max_attempts":1}],
                "services":[{"name":"desk","max_connections":200}],"limits":{"max_header_bytes":16384,"max_body_bytes":%2,"header_timeout_ms":3000,"idle_timeout_ms":15000}})")
                                                 .arg(version_)
                                                 .arg(version_ % 2 == 0 ? mebibyte : mebibyte / 2)
                                                 .toUtf8();
            EXPECT_EQ(cluster_.call("PUT", cluster_.urlOf("kv") + "/entry?key=op/config", configuration).status, 200);
        }

        std::vector<CrowdAddress> addresses()
        {
            std::vector<CrowdAddress> all;
            for (const Node& node : nodes_) {
                all.push_back({ .endpoint = cluster_.addressOf(node.name), .path = node.isGateway ? "/x" : "/orders" });
                all.push_back({ .endpoint = cluster_.addressOf(node.name + ".peers"), .isDatagram = true });
                if (node.isGateway) {
                    all.push_back({ .endpoint = cluster_.addressOf(node.name + ".ready"), .path = "/readyz" });
                    all.push_back({ .endpoint = cluster_.addressOf(node.name + ".control"), .path = "/metrics" });
                } else {
                    all.push_back({ .endpoint = cluster_.addressOf(node.name), .path = "/metrics" });
                    all.push_back({ .endpoint = cluster_.addressOf(node.name + ".peers"), .path = "/" });
                }
            }
            return all;
        }

        bool isOrdinaryRequestAnswered(const Node& node)
        {
            RawClient caller(cluster_.addressOf(node.name));
            caller.send("POST " + QByteArray(node.isGateway ? "/x" : "/orders") + " HTTP/1.1\r\nHost: soak.test\r\nAuthorization: Bearer caller-key\r\nContent-Length: 2\r\n\r\n{}");
            return caller.waitForStatus() == 200;
        }

        // Sends a series of signals to a node, or changes the configuration.
        void act(Node& node)
        {
            ++actions_;
            switch (random_() % 8) {
            case 0:
                publishRoutes();
                return;
            case 1:
                if (node.isPaused || node.isEnding)
                    return;
                cluster_.kill(node.name);
                restart(node);
                return;
            case 2:
            case 3:
                cluster_.signal(node.name, SIGSTOP);
                node.isPaused = true;
                node.resumeAt = now() + static_cast<qint64>(random_() % 500);
                return;
            case 4:
            case 5:
                if (node.isGateway)
                    cluster_.signal(node.name, SIGHUP);
                cluster_.signal(node.name, SIGTERM);
                if (node.isGateway)
                    cluster_.signal(node.name, SIGHUP);
                node.isEnding = true;
                return;
            default:
                for (uint64_t i = random_() % 5; node.isGateway && i > 0; --i)
                    cluster_.signal(node.name, SIGHUP);
            }
        }

        void restart(Node& node)
        {
            ++restarts_;
            cluster_.restart(node.name);
            node.isEnding = false;
        }

        // Checks the bounds of all nodes, resumes paused ones and restarts those that have ended.
        void update()
        {
            for (Node& node : nodes_) {
                if (node.isPaused && now() >= node.resumeAt) {
                    cluster_.signal(node.name, SIGCONT);
                    node.isPaused = false;
                }
                if (!cluster_.isRunning(node.name)) {
                    EXPECT_TRUE(node.isEnding) << node.name << " ended by itself";
                    EXPECT_EQ(cluster_.exitCodeOf(node.name), 0) << node.name;
                    restart(node);
                    continue;
                }
                const qint64 pid = cluster_.pidOf(node.name);
                const qint64 memory = memoryOfProcess(pid, "VmHWM") - node.memoryAtRest;
                highestMemory_ = std::max(highestMemory_, memory);
                if (memory >= memoryBound + sanitizerAllowance && !std::exchange(node.isOverBound, true))
                    ADD_FAILURE() << node.name << " takes " << memory << " bytes above rest, bound " << memoryBound + sanitizerAllowance;
                EXPECT_LT(descriptorsOfProcess(pid), maxDescriptors) << node.name;
            }
        }

        Cluster cluster_;
        Random random_;
        int nodesOfEachKind_;
        std::vector<Node> nodes_;
        int version_ = 1;
        int actions_ = 0;
        int restarts_ = 0;
        qint64 highestMemory_ = 0;
    };

    class CrowdSoak : public testing::TestWithParam<uint64_t> { };

} // namespace

TEST_P(CrowdSoak, NodesLiveWithinTheirBoundsAndServeOthers)
{
    const char* seedOverride = std::getenv("HEMLOCKWEIR_SEED");
    const uint64_t seed = seedOverride ? std::strtoull(seedOverride, nullptr, 10) : GetParam();
    std::cout << "seed " << seed << '\n';
    CrowdSoakRun(seed).disturb();
}

INSTANTIATE_TEST_SUITE_P(FixedSeeds, CrowdSoak, testing::Values(1, 2, 3));

} // namespace hemlockweir
