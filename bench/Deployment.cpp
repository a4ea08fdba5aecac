#include "Deployment.h"

#include "Workload.h"
#include "support/Wait.h"

#include <QFile>
#include <QJsonDocument>
#include <QUrl>
#include <unistd.h>

namespace hemlockweir {

static constexpr char operatorKey[] = "an operator key for the bench";

static std::string domainName(int number)
{
    return std::string(1, static_cast<char>('a' + number));
}

Deployment::Deployment(DeploymentOptions options)
    : options_(std::move(options))
{
}

Deployment::~Deployment()
{
    for (auto& [name, process] : processes_) {
        process->kill();
        process->waitForFinished();
    }
}

// Each bench process has a loopback address of its own, so that several run side by side.
std::string Deployment::addressOf(const std::string& name)
{
    std::string& address = addresses_[name];
    if (address.empty()) {
        const auto pid = static_cast<unsigned>(getpid());
        address = "127." + std::to_string(1 + (pid >> 16) % 200) + "." + std::to_string((pid >> 8) % 256) + "." + std::to_string(1 + pid % 254) + ":" + std::to_string(nextPort_++);
    }
    return address;
}

CallResult Deployment::call(const QByteArray& method, const std::string& url, const QByteArray& body)
{
    CallResult answer;
    bool isDone = false;
    QByteArray received;
    const auto running = client_.start({ .method = method, .url = QUrl(QString::fromStdString(url)), .headers = { { "Authorization", QByteArray("Bearer ") + operatorKey } }, .body = body, .firstByteTimeout = hangLimit, .silenceTimeout = hangLimit },
        { .onHead = {}, .onData = [&](const QByteArray& piece) { received += piece; }, .onDone = [&](const CallResult& result) {
             answer = result;
             isDone = true; } });
    waitUntil([&] { return isDone; });
    answer.body = received + answer.body;
    return answer;
}

QString Deployment::writeFile(const std::string& name, const std::string& text)
{
    const QString path = folder_.filePath(QString::fromStdString(name));
    QFile file(path);
    if (file.open(QIODevice::WriteOnly))
        file.write(QByteArray::fromStdString(text));
    return path;
}

void Deployment::startProcess(const std::string& name, const QString& program, const QStringList& arguments)
{
    auto process = std::make_unique<QProcess>();
    process->setStandardOutputFile(QProcess::nullDevice());
    process->setStandardErrorFile(folder_.filePath(QString::fromStdString(name + ".log")));
    process->start(QString(BIN_DIR) + "/" + program, arguments);
    process->waitForStarted();
    processes_[name] = std::move(process);
}

void Deployment::startEngine(const std::string& id, const std::string& domain, const std::string& fabric)
{
    const std::string address = addressOf(id);
    startProcess(id, "standin-engine",
        { "--listen", QString::fromStdString(address), "--id", QString::fromStdString(id), "--slots", QString::number(options_.slots), "--token-ms", QString::number(options_.tokenMs),
            "--prefill-ms", QString::number(options_.prefillMs) });
    instances_.append(QJsonObject { { "id", QString::fromStdString(id) }, { "address", QString::fromStdString(address) }, { "domain", QString::fromStdString(domain) },
        { "fabric", QString::fromStdString(fabric) }, { "pool", "models" }, { "state", "live" } });
}

void Deployment::startNode(int number)
{
    const std::string name = "n" + std::to_string(number + 1);
    const std::string text = "[node]\nname = \"" + name + "\"\nfailure_domain = \"" + domainName(number % options_.domains) + "\"\ncallers = \"" + addressOf(name) + "\"\npeers = \""
        + addressOf(name + ".peers") + "\"\nseeds = [\"" + addressOf("n1.peers") + "\"]\ncluster_key = \"a key for the bench only\"\noperator_key = \"" + operatorKey + "\"\n\n[platform]\nurls = [\"http://" + addressOf("store")
        + "\"]\ninstances_url = \"http://" + addressOf("store") + "/instances\"\n\n[limits]\nmax_connections = 20000\nmax_connections_per_address = 20000\nmax_waiting = 20000\n\n[schedule]\npolicy = \""
        + options_.policy + "\"\n";
    startProcess(name, "hemlockweir", { "--settings", writeFile(name + ".toml", text) });
}

bool Deployment::publish()
{
    QProcess ctl;
    ctl.start(QString(BIN_DIR) + "/hemlockctl",
        { "publish", writeFile("service.toml", makeBenchServiceFile(options_.members)), "--platform", QString::fromStdString("http://" + addressOf("store")) });
    return waitUntil([&] { return ctl.state() == QProcess::NotRunning; }) && ctl.exitCode() == 0;
}

bool Deployment::waitForGroups()
{
    // Groups of other domains are seen as whole replicas only through requests, so each node is
    // asked for those that it observes and the sum is awaited.
    return waitUntil([&] {
        std::map<QString, bool> whole;
        for (int i = 0; i < options_.nodes; ++i) {
            const CallResult answer = call("GET", "http://" + addressOf("n" + std::to_string(i + 1)) + "/operator/status");
            const QJsonArray groups = QJsonDocument::fromJson(answer.body).object()["groups"].toArray();
            for (const QJsonValue& group : groups) {
                if (group["whole"].toBool())
                    whole[group["group"].toString()] = true;
            }
        }
        return whole.size() >= static_cast<size_t>(options_.groups());
    });
}

bool Deployment::start()
{
    startProcess("store", "standin-store", { "--listen", QString::fromStdString(addressOf("store")) });
    for (int domain = 0; domain < options_.domains; ++domain) {
        for (int i = 0; i < options_.groupsPerDomain * options_.members; ++i)
            startEngine(domainName(domain) + std::to_string(i + 1), domainName(domain), domainName(domain) + "-fabric");
    }
    const QByteArray list = QJsonDocument(QJsonObject { { "instances", instances_ } }).toJson();
    const bool isListed = waitUntil([&] { return call("PUT", "http://" + addressOf("store") + "/instances", list).status == 200; });
    if (!isListed || !publish())
        return false;
    for (int i = 0; i < options_.nodes; ++i)
        startNode(i);
    return waitForGroups();
}

double Deployment::capacity() const
{
    const double secondsPerRequest = (options_.prefillMs + meanTokens * options_.tokenMs) / 1000.0;
    return options_.groups() * options_.slots / secondsPerRequest;
}

std::vector<std::string> Deployment::nodeAddresses()
{
    std::vector<std::string> addresses;
    addresses.reserve(static_cast<size_t>(options_.nodes));
    for (int i = 0; i < options_.nodes; ++i)
        addresses.push_back(addressOf("n" + std::to_string(i + 1)));
    return addresses;
}

void Deployment::kill(const std::string& name)
{
    processes_.at(name)->kill();
    processes_.at(name)->waitForFinished();
}

double Deployment::nodeCpuSeconds() const
{
    // Fields 14 and 15 of /proc/PID/stat; the second field ends with the last bracket.
    constexpr qsizetype userField = 11;
    constexpr qsizetype systemField = 12;
    double ticks = 0;
    for (const auto& [name, process] : processes_) {
        QFile file("/proc/" + QString::number(process->processId()) + "/stat");
        if (!process->program().endsWith("/hemlockweir") || !file.open(QIODevice::ReadOnly))
            continue;
        const QByteArray stat = file.readAll();
        const QList<QByteArray> fields = stat.mid(stat.lastIndexOf(')') + 2).split(' ');
        ticks += fields.value(userField).toDouble() + fields.value(systemField).toDouble();
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

int Deployment::countEffects(const QString& what)
{
    int count = 0;
    for (const auto& [name, process] : processes_) {
        if (!process->program().endsWith("/standin-engine") || process->state() != QProcess::Running)
            continue;
        const QJsonObject answer = QJsonDocument::fromJson(call("GET", "http://" + addressOf(name) + "/effects").body).object();
        const QJsonArray effects = answer["effects"].toArray();
        count += static_cast<int>(std::count_if(effects.begin(), effects.end(), [&](const QJsonValue& effect) { return effect["what"].toString() == what; }));
    }
    return count;
}

} // namespace hemlockweir
