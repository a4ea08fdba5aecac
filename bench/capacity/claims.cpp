// Measures the platform calls and the latency of claims for a number of nodes in one failure domain,
// first with each node writing its own claims, then with one node, the aggregator, writing for all.
// Run manually:
//
//   capacity-claims --nodes 31 --rate 0.55 --seconds 20
//
// The nodes' ledgers are in this process. The platform's stand-in is a separate process, and nodes send
// each other messages over TCP on the loopback address.

#include "support/Cluster.h"

#include "ledger/ClaimLedger.h"
#include "ledger/SharedWriter.h"
#include "wire/PeerExchange.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <algorithm>
#include <boost/program_options.hpp>
#include <cmath>
#include <iostream>

namespace options = boost::program_options;
using namespace hemlockweir;

namespace {

constexpr char clusterKey[] = "a key for benches only";

struct Parameters {
    int nodes = 31; // in one failure domain
    double rate = 0.55; // claims per node and second
    int seconds = 20;
    int intervalMs = 50; // ms that the aggregator collects writes before it sends them
};

// The claim ledger of one node, with its connections to the platform and to the aggregator.
class ClaimNode {
public:
    ClaimNode(int index, const std::string& store, const Parameters& parameters, bool isShared, const std::string& aggregator)
        : platform_({ .endpoints = { QUrl(QString::fromStdString(store)) } })
        , server_(makeServerOptions(aggregator))
        , client_({ .node = "n" + std::to_string(index), .incarnation = 1, .clusterKey = clusterKey })
        , writer_({ .writeEach = makeClaimStore(platform_).writeEach,
              .interval = Millis(parameters.intervalMs),
              .clock = makeSteadyClock(),
              .random = makeSystemRandom(),
              .isShared = [isShared] { return isShared; },
              .findAggregator = [index, aggregator] { return index == 0 ? std::string() : aggregator; },
              .send = [this](const std::string& to, const ClaimBatch& batch, SharedWriter::Answer done) { client_.sendRequest<ClaimBatchAnswer>(to, batch, std::move(done)); } })
        , ledger_({ .owner = "bench", .clock = makeSteadyClock(), .random = makeSystemRandom() }, makeStore())
    {
        if (index == 0 && isShared)
            serve();
    }

    ClaimLedger& ledger() { return ledger_; }
    uint64_t calls() const { return platform_.callsMade(); }

private:
    static PeerServer::Options makeServerOptions(const std::string& endpoint)
    {
        const QUrl url(QString::fromStdString("tcp://" + endpoint));
        return { .address = QHostAddress(url.host()), .port = static_cast<quint16>(url.port()), .clusterKey = clusterKey };
    }

    ClaimStore makeStore()
    {
        ClaimStore store = makeClaimStore(platform_);
        store.writeEach = [this](const std::vector<KvWrite>& writes, Callback<std::vector<KvWriteResult>> done) { writer_.writeEach(writes, std::move(done)); };
        return store;
    }

    void serve()
    {
        server_.setHandler(MessageKind::ClaimBatch, [this](const Envelope& envelope, const PeerServer::Responder& answer) {
            writer_.writeForPeer(*decodeBody<ClaimBatch>(envelope.body), [this, answer](const ClaimBatchAnswer& results) { answer(client_.seal(results)); });
        });
        if (!server_.start().ok())
            std::cerr << "cannot listen on the aggregator's port\n";
    }

    KvClient platform_;
    PeerServer server_;
    PeerClient client_;
    SharedWriter writer_;
    ClaimLedger ledger_;
};

class Measurement {
public:
    Measurement(const Parameters& parameters, bool isShared)
        : parameters_(parameters)
        , isShared_(isShared)
        , random_(makeSeededRandom(1))
    {
        cluster_.startStore();
        const std::string aggregator = cluster_.addressOf("sharer.peers");
        for (int i = 0; i < parameters_.nodes; ++i)
            nodes_.push_back(std::make_unique<ClaimNode>(i, cluster_.urlOf("store"), parameters_, isShared, aggregator));
    }

    void run()
    {
        for (size_t i = 0; i < nodes_.size(); ++i)
            claim(i); // acquires the leases
        waitUntil([this] { return claimMs_.size() + failed_ == nodes_.size(); });
        const uint64_t before = calls();
        claimMs_.clear();
        completeMs_.clear();
        isRunning_ = true;
        for (size_t i = 0; i < nodes_.size(); ++i)
            scheduleClaim(i);
        QElapsedTimer elapsed;
        elapsed.start();
        waitUntil([&] { return elapsed.elapsed() > parameters_.seconds * 1000; }, std::chrono::seconds(parameters_.seconds + 5));
        print(calls() - before);
        isRunning_ = false;
    }

private:
    // Schedules the next claim after an exponentially distributed gap (a Poisson process, as of many
    // independent callers).
    void scheduleClaim(size_t node)
    {
        const double uniform = (static_cast<double>(random_() >> 11) + 1) / 9007199254740993.0;
        QTimer::singleShot(static_cast<int>(-std::log(uniform) / parameters_.rate * 1000), &timers_, [this, node] {
            if (!isRunning_)
                return;
            claim(node);
            scheduleClaim(node);
        });
    }

    void claim(size_t node)
    {
        const ClaimRequest request { .caller = "caller", .idempotencyKey = QByteArray::number(++lastKey_), .requestHash = "hash" };
        auto clock = std::make_shared<QElapsedTimer>();
        clock->start();
        nodes_[node]->ledger().claim(request, [this, node, request, clock](const ClaimResult& result) {
            if (result.outcome != ClaimOutcome::Granted) {
                ++failed_;
                return;
            }
            claimMs_.push_back(clock->elapsed());
            clock->restart();
            nodes_[node]->ledger().complete(request, { .status = 200, .contentType = "application/json", .body = QByteArray(500, 'x') }, [this, clock](bool) { completeMs_.push_back(clock->elapsed()); });
        });
    }

    uint64_t calls() const
    {
        uint64_t sum = 0;
        for (const auto& node : nodes_)
            sum += node->calls();
        return sum;
    }

    static qint64 quantile(std::vector<qint64> values, double fraction)
    {
        if (values.empty())
            return 0;
        std::sort(values.begin(), values.end());
        return values[std::min(values.size() - 1, static_cast<size_t>(static_cast<double>(values.size()) * fraction))];
    }

    void print(uint64_t calls) const
    {
        const double seconds = parameters_.seconds;
        std::cout.precision(4);
        std::cout << "way=" << (isShared_ ? "shared" : "own") << " nodes=" << parameters_.nodes << " claims_s=" << static_cast<double>(claimMs_.size()) / seconds
                  << " failed=" << failed_ << " calls_s=" << static_cast<double>(calls) / seconds
                  << " calls_per_claim=" << static_cast<double>(calls) / std::max<double>(1, static_cast<double>(claimMs_.size()))
                  << " claim_ms_median=" << quantile(claimMs_, 0.5) << " p95=" << quantile(claimMs_, 0.95)
                  << " completion_ms_median=" << quantile(completeMs_, 0.5) << " p95=" << quantile(completeMs_, 0.95) << std::endl;
    }

    Parameters parameters_;
    bool isShared_;
    Random random_;
    Cluster cluster_;
    std::vector<std::unique_ptr<ClaimNode>> nodes_;
    std::vector<qint64> claimMs_;
    std::vector<qint64> completeMs_;
    size_t failed_ = 0;
    int lastKey_ = 0;
    bool isRunning_ = false;
    QObject timers_; // context of the timers: cancels them on destruction
};

} // namespace

int main(int argc, char** argv)
{
    Parameters parameters;
    options::options_description description("Measures claims of the nodes of one failure domain");
    description.add_options()("help,h", "show this text")(
        "nodes", options::value(&parameters.nodes)->default_value(parameters.nodes), "nodes of the failure domain")(
        "rate", options::value(&parameters.rate)->default_value(parameters.rate), "claims of each node and second")(
        "interval-ms", options::value(&parameters.intervalMs)->default_value(parameters.intervalMs), "ms that the aggregator collects writes of other nodes")(
        "seconds", options::value(&parameters.seconds)->default_value(parameters.seconds), "time measured, for each way");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    if (values.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    QCoreApplication application(argc, argv);
    for (const bool isShared : { false, true })
        Measurement(parameters, isShared).run();
    return 0;
}
