// Measures the nodes' own overhead: starts N real nodes with the platform's stand-in, without
// requests, and prints the resources that a node uses. Run manually:
//
//   capacity-nodes --nodes 32 --domains 1 --seconds 10 --publishes 5
//
// Prints per node (mean and maximum): kilobytes per second sent and received, datagrams per second, CPU
// and platform calls per second; the largest resident memory; what the node that sent most sent it
// for; and the time from a publication until all nodes have adopted the configuration.

#include "NodeUsage.h"
#include "support/Cluster.h"

#include "ctl/Publish.h"
#include "membership/PeerTraffic.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <algorithm>
#include <array>
#include <boost/program_options.hpp>
#include <gtest/gtest.h>
#include <iostream>
#include <numeric>

namespace options = boost::program_options;
using namespace hemlockweir;

namespace {

struct Parameters {
    int nodes = 4;
    int domains = 3;
    int seconds = 10;
    int publishes = 3;
    int callers = 10; // callers in the configuration; they determine its size
    std::string settings; // TOML added to every node's settings
};

// Resources that a node has used since its start.
struct Usage {
    double bytesSent = 0;
    double bytesReceived = 0;
    double datagramsSent = 0;
    double platformCalls = 0;
    double documentBytes = 0;
    double cpuSeconds = 0;
    double residentMb = 0;
    std::array<double, sendPurposeCount> bytesSentFor {};
};

class Measurement {
public:
    explicit Measurement(const Parameters& parameters)
        : parameters_(parameters)
    {
    }

    int measure()
    {
        startNodes();
        publish();
        if (!waitForRevision(lastRevision_) || !waitForPeers())
            return 1;
        const std::vector<Usage> before = readAll();
        QElapsedTimer elapsed;
        elapsed.start();
        waitUntil([] { return false; }, std::chrono::seconds(parameters_.seconds));
        const double seconds = static_cast<double>(elapsed.elapsed()) / 1000.0;
        print(before, readAll(), seconds);
        printPublishes();
        return 0;
    }

private:
    static std::string nameOf(int i) { return "node-" + std::to_string(i); }

    void startNodes()
    {
        cluster_.startStore();
        for (int i = 0; i < parameters_.nodes; ++i) {
            std::vector<std::string> seeds;
            seeds.reserve(static_cast<size_t>(parameters_.domains));
            for (int s = 0; s < std::min(i, parameters_.domains); ++s)
                seeds.push_back(nameOf(s));
            cluster_.startNode({ .name = nameOf(i), .domain = "domain-" + std::to_string(i % parameters_.domains), .seeds = seeds, .settings = parameters_.settings });
        }
    }

    Configuration makeConfiguration() const
    {
        Configuration configuration { .priorities = { { .name = "urgent" } } };
        for (int i = 0; i < parameters_.callers; ++i) {
            const std::string name = "caller-" + std::to_string(i);
            configuration.callers.push_back({ .name = name, .keySha256 = hashCallerKey(QByteArray::fromStdString(name)), .defaultPriority = "urgent" });
        }
        return configuration;
    }

    void publish()
    {
        const Configuration configuration = makeConfiguration();
        documentBytes_ = formatConfiguration(configuration).size();
        bool done = false;
        publishConfiguration(platform(), configuration, { .random = makeSystemRandom() }, [&](const absl::StatusOr<int64_t>& revision) {
            lastRevision_ = revision.value_or(0);
            done = true;
        });
        waitUntil([&] { return done; });
    }

    KvClient& platform()
    {
        if (!platform_)
            platform_ = std::make_unique<KvClient>(KvClient::Options { .endpoints = { QUrl(QString::fromStdString(cluster_.urlOf("store"))) } });
        return *platform_;
    }

    int countAdopted(int64_t revision)
    {
        const QByteArray line = "event=configuration_adopted revision=" + QByteArray::number(static_cast<qlonglong>(revision)) + " ";
        int count = 0;
        for (int i = 0; i < parameters_.nodes; ++i)
            count += cluster_.logOf(nameOf(i)).contains(line) ? 1 : 0;
        return count;
    }

    bool waitForRevision(int64_t revision)
    {
        return waitUntil([&] { return countAdopted(revision) == parameters_.nodes; });
    }

    // Waits until each node reports at least as many live peers as its domain has other nodes.
    bool waitForPeers()
    {
        const int required = (parameters_.nodes / parameters_.domains) - 1;
        for (int i = 0; i < parameters_.nodes; ++i) {
            const bool isKnown = waitUntil([&] {
                int alive = 0;
                const QJsonArray peers = cluster_.status(nameOf(i))["peers"].toArray();
                for (const QJsonValue& peer : peers)
                    alive += peer.toObject()["alive"].toBool() ? 1 : 0;
                return alive >= required;
            });
            if (!isKnown)
                return false;
        }
        return true;
    }

    std::vector<Usage> readAll()
    {
        std::vector<Usage> all;
        for (int i = 0; i < parameters_.nodes; ++i) {
            const QByteArray metrics = cluster_.call("GET", cluster_.urlOf(nameOf(i)) + "/metrics").body;
            const qint64 pid = cluster_.pidOf(nameOf(i));
            all.push_back({ .bytesSent = readMetric(metrics, "hemlockweir_peer_bytes_sent_total"),
                .bytesReceived = readMetric(metrics, "hemlockweir_peer_bytes_received_total"),
                .datagramsSent = readMetric(metrics, "hemlockweir_peer_datagrams_sent_total"),
                .platformCalls = readMetric(metrics, "hemlockweir_platform_calls_total"),
                .documentBytes = readMetric(metrics, "hemlockweir_configuration_bytes_sent_total"),
                .cpuSeconds = readCpuSeconds(pid),
                .residentMb = readResidentMb(pid) });
            for (size_t purpose = 0; purpose < sendPurposeCount; ++purpose)
                all.back().bytesSentFor[purpose] = readMetric(metrics, (std::string("hemlockweir_peer_bytes_sent_") + hemlockweir::nameOf(static_cast<SendPurpose>(purpose)) + "_total").c_str());
        }
        return all;
    }

    static void printRate(const char* name, const std::vector<Usage>& before, const std::vector<Usage>& after, double Usage::*field, double perSecond)
    {
        std::vector<double> rates;
        for (size_t i = 0; i < before.size(); ++i)
            rates.push_back((after[i].*field - before[i].*field) * perSecond);
        const double mean = std::accumulate(rates.begin(), rates.end(), 0.0) / static_cast<double>(rates.size());
        std::cout << ' ' << name << '=' << mean << " (most " << *std::max_element(rates.begin(), rates.end()) << ")";
    }

    void print(const std::vector<Usage>& before, const std::vector<Usage>& after, double seconds) const
    {
        constexpr double bytesPerKb = 1000.0;
        constexpr double percent = 100.0;
        std::cout.precision(3);
        std::cout << "nodes=" << parameters_.nodes << " domains=" << parameters_.domains;
        printRate("sent_kb_s", before, after, &Usage::bytesSent, 1 / seconds / bytesPerKb);
        printRate("received_kb_s", before, after, &Usage::bytesReceived, 1 / seconds / bytesPerKb);
        printRate("datagrams_s", before, after, &Usage::datagramsSent, 1 / seconds);
        printRate("cpu_percent", before, after, &Usage::cpuSeconds, percent / seconds);
        printRate("platform_calls_s", before, after, &Usage::platformCalls, 1 / seconds);
        double maxResidentMb = 0;
        for (const Usage& usage : after)
            maxResidentMb = std::max(maxResidentMb, usage.residentMb);
        std::cout << " resident_mb_most=" << maxResidentMb << '\n';
        printBusiest(before, after, 1 / seconds / bytesPerKb);
    }

    // Prints the bytes sent by purpose, for the node that sent most.
    static void printBusiest(const std::vector<Usage>& before, const std::vector<Usage>& after, double perSecond)
    {
        size_t busiest = 0;
        for (size_t i = 0; i < before.size(); ++i) {
            if (after[i].bytesSent - before[i].bytesSent > after[busiest].bytesSent - before[busiest].bytesSent)
                busiest = i;
        }
        std::cout << "  busiest sent_kb_s:";
        for (size_t purpose = 0; purpose < sendPurposeCount; ++purpose)
            std::cout << ' ' << hemlockweir::nameOf(static_cast<SendPurpose>(purpose)) << '=' << (after[busiest].bytesSentFor[purpose] - before[busiest].bytesSentFor[purpose]) * perSecond;
        std::cout << '\n';
    }

    void printPublishes()
    {
        std::vector<qint64> times;
        const std::vector<Usage> before = readAll();
        for (int i = 0; i < parameters_.publishes; ++i) {
            publish();
            QElapsedTimer elapsed;
            elapsed.start();
            if (!waitForRevision(lastRevision_))
                std::cout << "a configuration did not reach all nodes within the time limit\n";
            times.push_back(elapsed.elapsed());
        }
        std::sort(times.begin(), times.end());
        std::cout << "  publishes=" << times.size() << " document_bytes=" << documentBytes_;
        if (!times.empty())
            std::cout << " everywhere_ms: least=" << times.front() << " median=" << times[times.size() / 2] << " most=" << times.back();
        // Nodes update these metrics with each heartbeat.
        waitUntil([] { return false; }, std::chrono::seconds(1));
        printRate("document_kb_sent_per_publish", before, readAll(), &Usage::documentBytes, 1 / 1000.0 / std::max(1, parameters_.publishes));
        std::cout << '\n';
    }

    Parameters parameters_;
    Cluster cluster_;
    std::unique_ptr<KvClient> platform_;
    int64_t lastRevision_ = 0;
    qsizetype documentBytes_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    testing::InitGoogleTest(&argc, argv);
    Parameters parameters;
    options::options_description description("Measures the overhead of nodes without requests");
    description.add_options()("help,h", "show this text")("nodes", options::value(&parameters.nodes)->default_value(parameters.nodes), "nodes to start")(
        "domains", options::value(&parameters.domains)->default_value(parameters.domains), "failure domains of the nodes")(
        "seconds", options::value(&parameters.seconds)->default_value(parameters.seconds), "time measured")(
        "publishes", options::value(&parameters.publishes)->default_value(parameters.publishes), "configurations published afterwards")(
        "callers", options::value(&parameters.callers)->default_value(parameters.callers), "callers in the configuration: about 150 bytes each")(
        "settings", options::value(&parameters.settings), "TOML added to the settings of each node, such as [timing] lines");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    if (values.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    QCoreApplication application(argc, argv);
    return Measurement(parameters).measure();
}
