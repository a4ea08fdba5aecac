#include "Deployment.h"

#include "Workload.h"
#include "support/Wait.h"

#include <QDateTime>
#include <QJsonDocument>
#include <QUrl>
#include <algorithm>

namespace hemlockweir {

static constexpr char operatorKey[] = "an operator key for the bench";

// The balancer keeps sending requests to a killed node for this long.
static constexpr Millis balancerDetectionDelay { 300 };

std::optional<DeploymentOptions> findDeployment(const std::string& name)
{
    if (name == "kiriamu")
        return DeploymentOptions { .name = name, .network = { .domainDelayMs = 1.5, .callerDelayMs = 3 } };
    if (name == "marcacao")
        return DeploymentOptions { .name = name, .network = { .domainDelayMs = 1, .callerDelayMs = 1 } };
    if (name == "small")
        return DeploymentOptions { .name = name, .domains = 1, .nodes = 2, .groupsPerDomain = 1, .members = 2, .services = 1, .network = {} };
    return std::nullopt;
}

Deployment::Deployment(DeploymentOptions options)
    : options_(std::move(options))
    , network_(
          processes_, [this](const std::string& process, const QJsonObject& faults) { postFaults(process, faults); }, options_.network)
{
    for (int i = 0; i < options_.domains; ++i)
        domains_.emplace_back(1, static_cast<char>('a' + i));
    for (int i = 0; i < options_.nodes; ++i)
        nodes_.push_back("n" + std::to_string(i + 1));
}

std::string Deployment::domainOfNode(const std::string& node) const
{
    const auto index = static_cast<size_t>(std::find(nodes_.begin(), nodes_.end(), node) - nodes_.begin());
    return domains_[index % domains_.size()];
}

CallResult Deployment::call(const QByteArray& method, const std::string& url, const QByteArray& body)
{
    CallResult answer;
    bool isDone = false;
    QByteArray received;
    constexpr Millis timeout { 2000 };
    const auto running = client_.start({ .method = method, .url = QUrl(QString::fromStdString(url)), .headers = { { "Authorization", QByteArray("Bearer ") + operatorKey } }, .body = body, .firstByteTimeout = timeout, .silenceTimeout = timeout },
        { .onHead = {}, .onData = [&](const QByteArray& piece) { received += piece; }, .onDone = [&](const CallResult& result) {
             answer = result;
             isDone = true; } });
    waitUntil([&] { return isDone; });
    answer.body = received + answer.body;
    return answer;
}

void Deployment::postFaults(const std::string& process, const QJsonObject& faults)
{
    const std::string url = "http://" + processes_.addressOf(process) + "/faults";
    waitUntil([&] { return call("POST", url, QJsonDocument(faults).toJson()).status == 200; });
}

void Deployment::startPlatform()
{
    processes_.start("store", "standin-store", { "--listen", QString::fromStdString(processes_.addressOf("store")) });
    // Each failure domain has its own instance list, because its nodes reach the endpoints of other
    // domains through its own proxy addresses.
    for (const std::string& domain : domains_)
        processes_.start("list-" + domain, "standin-store", { "--listen", QString::fromStdString(processes_.addressOf("list-" + domain)) });
}

void Deployment::startEndpoint(const std::string& id, const std::string& fabric, const std::string& pool, const QString& program, const QStringList& arguments)
{
    processes_.start(id, program, QStringList { "--listen", QString::fromStdString(processes_.addressOf(id)), "--id", QString::fromStdString(id) } + arguments);
    effects_.add(id, processes_.effectsFileOf(id));
    instances_.append(QJsonObject { { "id", QString::fromStdString(id) }, { "domain", QString::fromStdString(domainOfEndpoint(id)) }, { "fabric", QString::fromStdString(fabric) },
        { "pool", QString::fromStdString(pool) }, { "state", "live" } });
}

// Splits the groups of a failure domain over two fabric domains; the first has one more group if
// their number is odd.
void Deployment::startEngines(const std::string& domain)
{
    const QStringList arguments { "--slots", QString::number(options_.slots), "--token-ms", QString::number(options_.tokenMs), "--prefill-ms", QString::number(options_.prefillMs), "--cache-blocks", QString::number(options_.cacheBlocks),
        // Coarser intervals save CPU: sixty engines share one machine with all other processes.
        "--step-ms", "5", "--check-ms", "200" };
    const int groupsInFirstFabric = (options_.groupsPerDomain + 1) / 2;
    for (int i = 0; i < options_.groupsPerDomain * options_.members; ++i) {
        const bool isFirst = i < groupsInFirstFabric * options_.members;
        const std::string fabric = domain + (isFirst ? "1" : "2");
        std::vector<std::string>& engines = enginesByFabric_[fabric];
        const std::string id = fabric + "-" + std::to_string(engines.size() + 1);
        engines.push_back(id);
        startEndpoint(id, fabric, "models", "standin-engine", arguments);
    }
}

bool Deployment::publishInstances()
{
    return std::all_of(domains_.begin(), domains_.end(), [this](const std::string& domain) {
        QJsonArray rows;
        for (const QJsonValue& value : instances_) {
            QJsonObject row = value.toObject();
            row["address"] = QString::fromStdString(network_.linkAddress(domain, row["id"].toString().toStdString()));
            rows.append(row);
        }
        const QByteArray list = QJsonDocument(QJsonObject { { "instances", rows } }).toJson();
        return waitUntil([&] { return call("PUT", "http://" + processes_.addressOf("list-" + domain) + "/instances", list).status == 200; });
    });
}

bool Deployment::publishConfiguration()
{
    QProcess ctl;
    const QString file = processes_.writeFile("service.toml", makeBenchServiceFile(options_.members));
    ctl.start(ProcessSet::binFolder() + "/hemlockctl", { "publish", file, "--platform", QString::fromStdString("http://" + processes_.addressOf("store")) });
    return waitUntil([&] { return ctl.state() == QProcess::NotRunning; }) && ctl.exitCode() == 0;
}

bool Deployment::start()
{
    startPlatform();
    for (const std::string& domain : domains_)
        startEngines(domain);
    for (int i = 0; i < options_.services; ++i)
        startEndpoint(domains_[static_cast<size_t>(i) % domains_.size()] + "-orders-" + std::to_string(i + 1), "", "orders", "standin-service", {});
    for (const std::string& domain : domains_) {
        std::vector<std::string> nodes;
        std::copy_if(nodes_.begin(), nodes_.end(), std::back_inserter(nodes), [&](const std::string& node) { return domainOfNode(node) == domain; });
        network_.addDomain(domain, nodes);
    }
    for (const std::string& domain : domains_) {
        network_.linkAddress(domain, "store");
        network_.linkAddress(domain, "list-" + domain);
    }
    const bool arePublished = publishInstances();
    network_.start();
    return arePublished && publishConfiguration();
}

void Deployment::startNode(const std::string& node, const NodeProgram& program)
{
    const std::string domain = domainOfNode(node);
    const std::string text = "[node]\nname = \"" + node + "\"\nfailure_domain = \"" + domain + "\"\ncallers = \"" + processes_.addressOf(node) + "\"\npeers = \"" + processes_.addressOf(node + ".peers")
        + "\"\nadvertised_peers = \"" + network_.peerAddressOf(node) + "\"\nseeds = [\"" + network_.peerAddressOf(nodes_.front()) + "\", \"" + network_.peerAddressOf(nodes_.back()) + "\"]\ncluster_key = \"a key for the bench only\"\noperator_key = \"" + operatorKey
        + "\"\n\n[platform]\nurls = [\"http://" + network_.linkAddress(domain, "store") + "\"]\ninstances_url = \"http://" + network_.linkAddress(domain, "list-" + domain)
        + "/instances\"\n\n[limits]\nmax_connections = 20000\nmax_connections_per_address = 20000\nmax_waiting = 20000\nmax_requests_per_caller = 20000\n\n[timing]\nshutdown_quiet_ms = 0\nshutdown_timeout_ms = 1000\nreport_share_interval_ms = 200\n\n[schedule]\npolicy = \""
        + program.policy + "\"\n";
    processes_.start(node, program.path, { "--settings", processes_.writeFile(node + ".toml", text) });
}

bool Deployment::runNodes(const NodeProgram& program)
{
    if (program_ == program)
        return true;
    for (const std::string& node : nodes_) {
        if (processes_.isRunning(node))
            processes_.terminate(node);
    }
    for (const std::string& node : nodes_)
        startNode(node, program);
    program_ = program;
    return waitForGroups();
}

size_t Deployment::countWholeGroups(const std::string& node)
{
    const CallResult answer = call("GET", "http://" + processes_.addressOf(node) + "/operator/status");
    const QJsonArray groups = QJsonDocument::fromJson(answer.body).object()["groups"].toArray();
    std::set<QString> whole;
    for (const QJsonValue& group : groups) {
        if (group["whole"].toBool())
            whole.insert(group["group"].toString());
    }
    return whole.size();
}

bool Deployment::waitForGroups()
{
    return waitUntil([&] {
        return std::all_of(nodes_.begin(), nodes_.end(), [this](const std::string& node) { return countWholeGroups(node) >= static_cast<size_t>(options_.groups()); });
    });
}

double Deployment::capacity() const
{
    const double secondsPerRequest = (options_.prefillMs + meanTokens * options_.tokenMs) / 1000.0;
    return options_.groups() * options_.slots / secondsPerRequest;
}

std::vector<std::string> Deployment::nodeAddresses()
{
    std::vector<std::string> addresses;
    addresses.reserve(nodes_.size());
    for (const std::string& node : nodes_)
        addresses.push_back(processes_.addressOf(node));
    return addresses;
}

bool Deployment::isInRotation(size_t node) const
{
    const auto killed = killedAt_.find(nodes_[node]);
    return killed == killedAt_.end() || std::chrono::steady_clock::now() - killed->second < balancerDetectionDelay;
}

void Deployment::killEngine(const std::string& engine)
{
    processes_.kill(engine);
    engineKills_.push_back({ .engine = engine, .at = QDateTime::currentMSecsSinceEpoch() });
    killedProcesses_.push_back(engine);
}

void Deployment::killFabric(const std::string& fabric)
{
    for (const std::string& engine : enginesByFabric_[fabric])
        killEngine(engine);
}

void Deployment::killNode(const std::string& node)
{
    processes_.kill(node);
    killedAt_[node] = std::chrono::steady_clock::now();
    killedProcesses_.push_back(node);
}

void Deployment::restartKilled()
{
    for (const std::string& name : std::exchange(killedProcesses_, {})) {
        processes_.restart(name);
        killedAt_.erase(name);
    }
}

void Deployment::setPlatformDown(bool isDown)
{
    postFaults("store", { { "down", isDown } });
    for (const std::string& domain : domains_)
        postFaults("list-" + domain, { { "down", isDown } });
}

bool Deployment::restore()
{
    setPlatformDown(false);
    network_.heal();
    restartKilled();
    return waitForGroups();
}

double Deployment::nodeCpuSeconds() const
{
    double seconds = 0;
    for (const std::string& node : nodes_)
        seconds += processes_.cpuSeconds(node);
    return seconds;
}

// Every node has copies of the other nodes' counters. Counters only grow, so the largest copy is the
// latest. Nodes move the counters of dead nodes to the platform, so the figures read earlier are
// retained here.
Waste Deployment::readWaste()
{
    for (const std::string& node : nodes_) {
        if (!processes_.isRunning(node))
            continue;
        const CallResult answer = call("GET", "http://" + processes_.addressOf(node) + "/operator/report");
        const QJsonArray parts = QJsonDocument::fromJson(answer.body).object()["parts"].toArray();
        for (const QJsonValue& part : parts) {
            Waste sum;
            const QJsonArray rows = part["waste"].toArray();
            for (const QJsonValue& row : rows) {
                sum.strandedSeconds += row["stranded_ms"].toDouble() / 1000;
                sum.downtimeSeconds += row["downtime_ms"].toDouble() / 1000;
            }
            Waste& latest = wasteByIncarnation_[{ part["node"].toString(), part["incarnation"].toDouble() }];
            latest.strandedSeconds = std::max(latest.strandedSeconds, sum.strandedSeconds);
            latest.downtimeSeconds = std::max(latest.downtimeSeconds, sum.downtimeSeconds);
        }
    }
    Waste all;
    for (const auto& [part, waste] : wasteByIncarnation_) {
        all.strandedSeconds += waste.strandedSeconds;
        all.downtimeSeconds += waste.downtimeSeconds;
    }
    return all;
}

static double readGauge(const QByteArray& metrics, const QByteArray& name)
{
    const qsizetype at = metrics.indexOf("\n" + name + " ");
    if (at < 0)
        return 0;
    const qsizetype from = at + name.size() + 2;
    return metrics.mid(from, metrics.indexOf('\n', from) - from).toDouble();
}

IdleTime Deployment::readIdleTime()
{
    IdleTime sum;
    for (const std::string& node : nodes_) {
        if (!processes_.isRunning(node))
            continue;
        const QByteArray metrics = call("GET", "http://" + processes_.addressOf(node) + "/metrics").body;
        sum.notAsked += readGauge(metrics, "hemlockweir_idle_slot_seconds_not_asked");
        sum.keptForUrgent += readGauge(metrics, "hemlockweir_idle_slot_seconds_kept_for_urgent");
        sum.notFound += readGauge(metrics, "hemlockweir_idle_slot_seconds_not_found");
    }
    return sum;
}

} // namespace hemlockweir
