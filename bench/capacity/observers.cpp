// Measures the cost of polling engines: starts N real nodes of one failure domain and stand-ins for E
// engines in groups of 4, without requests, and prints the resources that a node uses and the age of
// its group states. Run manually:
//
//   capacity-observers --nodes 31 --engines 492 --seconds 10
//
// Prints one line per run: kilobytes and datagrams per second and CPU of a node (mean and maximum), the
// largest resident memory, the groups that the nodes report as whole, and the age of the oldest member
// report of each group.

#include "NodeUsage.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QJsonArray>
#include <algorithm>
#include <boost/program_options.hpp>
#include <gtest/gtest.h>
#include <iostream>
#include <numeric>

namespace options = boost::program_options;
using namespace hemlockweir;

namespace {

struct Parameters {
    int nodes = 4;
    int engines = 64;
    int seconds = 10;
    int settle = 20; // s to wait before the measurement, after all groups are known
    std::string settings; // TOML added to every node's settings
};

constexpr int membersOfGroup = 4;
constexpr int enginesPerProcess = 124;
constexpr double percent = 100;
constexpr double bytesPerKb = 1000;

class Measurement {
public:
    explicit Measurement(const Parameters& parameters)
        : parameters_(parameters)
    {
    }

    int measure()
    {
        cluster_.startStore();
        startEngines();
        startNodes();
        std::string file = makeServiceFile(membersOfGroup);
        if (cluster_.publish(file) != 0)
            return 1;
        if (!waitUntil([this] { return doAllNodesSeeAllGroups(); }))
            std::cout << "some nodes don't report every group as whole yet\n";
        waitUntil([] { return false; }, std::chrono::seconds(parameters_.settle));
        const std::vector<NodeUsage> before = readAll();
        QElapsedTimer elapsed;
        elapsed.start();
        waitUntil([] { return false; }, std::chrono::seconds(parameters_.seconds));
        const double seconds = static_cast<double>(elapsed.elapsed()) / 1000.0;
        print(before, readAll(), seconds);
        printAges();
        return 0;
    }

private:
    static std::string nameOf(int i) { return "node-" + std::to_string(i); }
    size_t groups() const { return static_cast<size_t>(parameters_.engines / membersOfGroup); }

    void startEngines()
    {
        int remaining = parameters_.engines;
        for (int fleet = 0; remaining > 0; ++fleet) {
            const int count = std::min(remaining, enginesPerProcess);
            cluster_.startFleet({ .count = count, .members = membersOfGroup, .prefix = "e" + std::to_string(fleet) + "-" });
            remaining -= count;
        }
    }

    void startNodes()
    {
        for (int i = 0; i < parameters_.nodes; ++i) {
            std::vector<std::string> seeds;
            if (i > 0)
                seeds.push_back(nameOf(0));
            cluster_.startNode({ .name = nameOf(i), .seeds = seeds, .settings = parameters_.settings });
        }
    }

    // Returns the ages in ms of the groups that a node reports as whole.
    std::vector<double> readGroupAges(const std::string& node)
    {
        std::vector<double> ages;
        const QJsonArray known = cluster_.status(node)["groups"].toArray();
        for (const QJsonValue& group : known) {
            if (group.toObject()["whole"].toBool())
                ages.push_back(group.toObject()["age_ms"].toDouble());
        }
        return ages;
    }

    size_t countWholeGroups(const std::string& node) { return readGroupAges(node).size(); }

    bool doAllNodesSeeAllGroups()
    {
        for (int i = 0; i < parameters_.nodes; ++i) {
            if (countWholeGroups(nameOf(i)) != groups())
                return false;
        }
        return true;
    }

    std::vector<NodeUsage> readAll()
    {
        std::vector<NodeUsage> all;
        all.reserve(static_cast<size_t>(parameters_.nodes));
        for (int i = 0; i < parameters_.nodes; ++i)
            all.push_back(readUsage(cluster_, nameOf(i)));
        return all;
    }

    static void printRate(const char* name, const std::vector<NodeUsage>& before, const std::vector<NodeUsage>& after, double NodeUsage::*field, double factor)
    {
        std::vector<double> rates;
        for (size_t i = 0; i < after.size(); ++i)
            rates.push_back((after[i].*field - before[i].*field) * factor);
        std::cout << ' ' << name << '=' << std::accumulate(rates.begin(), rates.end(), 0.0) / static_cast<double>(rates.size())
                  << " (" << *std::max_element(rates.begin(), rates.end()) << ')';
    }

    void print(const std::vector<NodeUsage>& before, const std::vector<NodeUsage>& after, double seconds) const
    {
        std::cout.precision(3);
        std::cout << "nodes=" << parameters_.nodes << " engines=" << parameters_.engines;
        printRate("sent_kb_s", before, after, &NodeUsage::bytesSent, 1 / seconds / bytesPerKb);
        printRate("received_kb_s", before, after, &NodeUsage::bytesReceived, 1 / seconds / bytesPerKb);
        printRate("datagrams_s", before, after, &NodeUsage::datagramsSent, 1 / seconds);
        printRate("cpu_percent", before, after, &NodeUsage::cpuSeconds, percent / seconds);
        double maxResidentMb = 0;
        for (const NodeUsage& usage : after)
            maxResidentMb = std::max(maxResidentMb, usage.residentMb);
        std::cout << " resident_mb_most=" << maxResidentMb << std::flush;
    }

    void printAges()
    {
        std::vector<double> ages;
        size_t whole = 0;
        for (int i = 0; i < parameters_.nodes; ++i) {
            const std::vector<double> known = readGroupAges(nameOf(i));
            ages.insert(ages.end(), known.begin(), known.end());
            whole += known.size();
            if (known.size() < groups())
                std::cerr << nameOf(i) << " reports " << known.size() << " whole groups\n";
        }
        std::sort(ages.begin(), ages.end());
        std::cout << " whole=" << whole << '/' << groups() * static_cast<size_t>(parameters_.nodes);
        if (!ages.empty())
            std::cout << " age_ms: median=" << ages[ages.size() / 2] << " p99=" << ages[ages.size() * 99 / 100] << " most=" << ages.back();
        std::cout << '\n';
    }

    Parameters parameters_;
    Cluster cluster_;
};

} // namespace

int main(int argc, char** argv)
{
    testing::InitGoogleTest(&argc, argv);
    Parameters parameters;
    options::options_description description("Measures the cost of polling engines");
    description.add_options()("help,h", "show this text")("nodes", options::value(&parameters.nodes)->default_value(parameters.nodes), "nodes to start, in one failure domain")(
        "engines", options::value(&parameters.engines)->default_value(parameters.engines), "engines that they poll")(
        "seconds", options::value(&parameters.seconds)->default_value(parameters.seconds), "time measured")(
        "settle", options::value(&parameters.settle)->default_value(parameters.settle), "seconds before it")(
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
