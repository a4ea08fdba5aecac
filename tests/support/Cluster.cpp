#include "support/Cluster.h"

#include "config/Configuration.h"
#include "ctl/Remote.h"

#include <QDir>
#include <QFile>
#include <QJsonDocument>
#include <QTemporaryDir>
#include <csignal>
#include <gtest/gtest.h>
#include <unistd.h>

namespace hemlockweir {

QJsonObject Answer::json() const
{
    return QJsonDocument::fromJson(body).object();
}

QString Answer::outcome() const
{
    return json()["error"].toObject()["outcome"].toString();
}

Answer PendingAnswer::wait(Millis limit) const
{
    EXPECT_TRUE(waitUntil([this] { return *isDone; }, limit)) << "a call did not end: " << name;
    return *answer;
}

Cluster::Cluster()
{
    QTemporaryDir folder;
    folder.setAutoRemove(false);
    folder_ = folder.path();
}

Cluster::~Cluster()
{
    for (auto& [name, process] : processes_) {
        process.process->disconnect();
        process.process->kill();
        process.process->waitForFinished();
    }
    if (testing::Test::HasFailure()) {
        for (const auto& [name, process] : processes_)
            std::fprintf(stderr, "--- log of %s\n%s\n", name.c_str(), process.log.right(6000).constData());
    }
    QDir(folder_).removeRecursively();
}

std::string loopbackAddressOf(unsigned processId)
{
    constexpr unsigned lowBits = 7;
    constexpr unsigned middleBits = 8;
    constexpr unsigned highBits = 7;
    auto bitsFrom = [processId](unsigned shift, unsigned count) { return (processId >> shift) & ((1U << count) - 1); };
    const unsigned high = 1 + bitsFrom(lowBits + middleBits, highBits);
    const unsigned low = 1 + bitsFrom(0, lowBits);
    return "127." + std::to_string(high) + "." + std::to_string(bitsFrom(lowBits, middleBits)) + "." + std::to_string(low);
}

std::string Cluster::addressOf(const std::string& name)
{
    std::string& address = addresses_[name];
    if (address.empty())
        address = loopbackAddressOf(static_cast<unsigned>(getpid())) + ":" + std::to_string(nextPort_++);
    return address;
}

QString Cluster::writeFile(const std::string& name, const std::string& text)
{
    const QString path = folder_ + "/" + QString::fromStdString(name);
    QFile file(path);
    EXPECT_TRUE(file.open(QIODevice::WriteOnly));
    file.write(QByteArray::fromStdString(text));
    return path;
}

void Cluster::startProcess(const std::string& name, const QString& program, const QStringList& arguments)
{
    startProgram(name, program, arguments, urlOf(name) + (program == "hemlockweir" ? "/healthz" : "/effects"));
}

void Cluster::startProgram(const std::string& name, const QString& program, const QStringList& arguments, const std::string& url)
{
    Process& entry = processes_[name];
    entry.program = program;
    entry.arguments = arguments;
    entry.url = url;
    QStringList allArguments = arguments;
    if (program.startsWith("standin-"))
        allArguments << "--effects" << effectsFileOf(name);
    entry.process = std::make_unique<QProcess>();
    QProcess* process = entry.process.get();
    process->setProcessChannelMode(QProcess::MergedChannels);
    QObject::connect(process, &QProcess::readyRead, process, [this, name, process] { processes_[name].log += process->readAll(); });
    process->setProcessEnvironment(environment_);
    if (maxDescriptors_) {
        process->setChildProcessModifier([limit = rlimit { .rlim_cur = *maxDescriptors_, .rlim_max = *maxDescriptors_ }] {
            if (::setrlimit(RLIMIT_NOFILE, &limit) != 0)
                std::_Exit(EXIT_FAILURE);
        });
    }
    process->start(QString(BIN_DIR) + "/" + program, allArguments);
    ASSERT_TRUE(process->waitForStarted());
    ASSERT_TRUE(waitUntil([&] { return process->state() != QProcess::Running || call("GET", url).status == 200; }));
    ASSERT_EQ(process->state(), QProcess::Running) << name << " exited during startup";
}

void Cluster::disableAsanQuarantine()
{
    const QString options = environment_.value("ASAN_OPTIONS");
    environment_.insert("ASAN_OPTIONS", options + (options.isEmpty() ? "" : ":") + "quarantine_size_mb=0:thread_local_quarantine_size_kb=0");
}

void Cluster::startStore()
{
    startProcess("store", "standin-store", { "--listen", QString::fromStdString(addressOf("store")) });
}

void Cluster::startEngine(const Instance& instance, const QStringList& arguments)
{
    Instance listed = instance;
    listed.address = addressOf(instance.id);
    startProcess(instance.id, "standin-engine", QStringList { "--listen", QString::fromStdString(listed.address), "--id", QString::fromStdString(instance.id) } + arguments);
    instances_.push_back(listed);
}

void Cluster::startEngines(const EngineGroupOptions& options)
{
    const std::string prefix = options.prefix.empty() ? options.fabric : options.prefix;
    for (int i = 1; i <= options.count; ++i)
        startEngine({ .id = prefix + "-" + std::to_string(i), .domain = options.domain, .fabric = options.fabric, .pool = options.pool }, options.arguments);
    publishInstances();
}

void Cluster::startFleet(const FleetOptions& options)
{
    // Consecutive calls of addressOf() return consecutive ports, which standin-fleet relies on.
    std::vector<std::string> addresses;
    for (int i = 0; i < options.count; ++i) {
        const std::string id = options.prefix + std::to_string(i);
        addresses.push_back(addressOf(id));
        instances_.push_back({ .id = id, .address = addresses.back(), .domain = options.domain, .fabric = options.domain, .pool = "models" });
    }
    startProcess(options.prefix + "0", "standin-fleet", { "--listen", QString::fromStdString(addresses.front()), "--prefix", QString::fromStdString(options.prefix), "--count", QString::number(options.count), "--members", QString::number(options.members) });
    publishInstances();
}

void Cluster::startService(const std::string& id, const std::string& domain, const std::string& pool)
{
    startProcess(id, "standin-service", { "--listen", QString::fromStdString(addressOf(id)), "--id", QString::fromStdString(id) });
    instances_.push_back({ .id = id, .address = addressOf(id), .domain = domain, .fabric = domain, .pool = pool });
    publishInstances();
}

void Cluster::startNode(const NodeOptions& options)
{
    if (!options.tlsAuthority.isEmpty()) {
        tlsNodes_.insert(options.name);
        EXPECT_TRUE(trustCertificates(options.tlsAuthority.toStdString()).ok());
    }
    std::string seeds;
    for (const std::string& seed : options.seeds)
        seeds += (seeds.empty() ? "\"" : ", \"") + addressOf(seed + ".peers") + "\"";
    const std::string advertised = options.advertised.empty() ? "" : "\"\nadvertised_peers = \"" + addressOf(options.advertised);
    const std::string text = "[node]\nname = \"" + options.name + "\"\nfailure_domain = \"" + options.domain + "\"\ncallers = \"" + addressOf(options.name)
        + "\"\npeers = \"" + addressOf(options.name + ".peers") + advertised + "\"\nseeds = [" + seeds + "]\ncluster_key = \"a key for tests only\"\noperator_key = \"" + operatorKey + "\"\n\n[platform]\nurls = [\""
        + urlOf(options.platform) + "\"]\ninstances_url = \"" + urlOf(options.platform) + "/instances\"\n\n" + options.settings;
    startProcess(options.name, "hemlockweir", { "--settings", writeFile(options.name + ".toml", text) });
}

void Cluster::startProxy(const std::vector<std::string>& links)
{
    QStringList arguments { "--listen", QString::fromStdString(addressOf("proxy")) };
    for (const std::string& link : links)
        arguments << "--link" << QString::fromStdString(link);
    startProcess("proxy", "standin-proxy", arguments);
}

void Cluster::signal(const std::string& name, int number)
{
    // The id of a process that has ended is 0, which stands for the process group of the tests.
    if (const qint64 pid = processes_.at(name).process->processId(); pid > 0)
        ::kill(static_cast<pid_t>(pid), number);
}

void Cluster::kill(const std::string& name)
{
    processes_.at(name).process->kill();
    processes_.at(name).process->waitForFinished();
}

void Cluster::terminate(const std::string& name)
{
    processes_.at(name).process->terminate();
}

bool Cluster::waitForExit(const std::string& name)
{
    return waitUntil([&] { return processes_.at(name).process->state() == QProcess::NotRunning; });
}

int Cluster::exitCodeOf(const std::string& name)
{
    const QProcess& process = *processes_.at(name).process;
    return process.exitStatus() == QProcess::NormalExit ? process.exitCode() : -1;
}

void Cluster::pause(const std::string& name)
{
    signal(name, SIGSTOP);
}

void Cluster::resume(const std::string& name)
{
    signal(name, SIGCONT);
}

void Cluster::restart(const std::string& name)
{
    const Process& previous = processes_.at(name);
    const QString program = previous.program;
    const QStringList arguments = previous.arguments;
    const std::string url = previous.url;
    startProgram(name, program, arguments, url);
}

void Cluster::saveLogs(const QString& folder)
{
    QDir().mkpath(folder);
    for (const auto& [name, process] : processes_) {
        QFile file(folder + "/" + QString::fromStdString(name) + ".log");
        if (file.open(QIODevice::WriteOnly))
            file.write(process.log);
        QFile::copy(effectsFileOf(name), folder + "/" + QString::fromStdString(name) + ".effects");
    }
}

void Cluster::publishInstances()
{
    QJsonArray rows;
    for (const Instance& instance : instances_) {
        rows.append(QJsonObject { { "id", QString::fromStdString(instance.id) }, { "address", QString::fromStdString(instance.address) },
            { "domain", QString::fromStdString(instance.domain) }, { "fabric", QString::fromStdString(instance.fabric) },
            { "pool", QString::fromStdString(instance.pool) }, { "state", instance.leaving ? "leaving" : "live" } });
    }
    call("PUT", urlOf("store") + "/instances", QJsonDocument(QJsonObject { { "instances", rows } }).toJson());
}

int Cluster::runCtl(const QStringList& arguments, QByteArray* output)
{
    QProcess process;
    process.setProcessChannelMode(QProcess::MergedChannels);
    QProcessEnvironment environment = QProcessEnvironment::systemEnvironment();
    environment.insert("HEMLOCKWEIR_OPERATOR_KEY", operatorKey);
    environment.insert("USER", "test-desk");
    process.setProcessEnvironment(environment);
    process.start(QString(BIN_DIR) + "/hemlockctl", arguments);
    EXPECT_TRUE(waitUntil([&] { return process.state() == QProcess::NotRunning; }));
    const QByteArray text = process.readAll();
    if (output)
        *output = text;
    return process.exitCode();
}

int Cluster::publish(const std::string& serviceFile)
{
    return runCtl({ "publish", writeFile("service.toml", serviceFile), "--platform", QString::fromStdString(urlOf("store")) });
}

PendingAnswer Cluster::start(const QByteArray& method, const std::string& url, const QByteArray& body, const std::vector<HttpHeader>& headers)
{
    PendingAnswer pending { .call = {}, .answer = std::make_shared<Answer>(), .isDone = std::make_shared<bool>(false), .received = std::make_shared<QByteArray>(), .name = method.toStdString() + " " + url };
    CallHooks hooks;
    hooks.onData = [received = pending.received](const QByteArray& chunk) { *received += chunk; };
    hooks.onDone = [answer = pending.answer, isDone = pending.isDone, received = pending.received](const CallResult& result) {
        *answer = { .end = result.end, .status = result.status, .body = *received + result.body };
        *isDone = true;
    };
    pending.call = client_.start({ .method = method, .url = QUrl(QString::fromStdString(url)), .headers = headers, .body = body, .firstByteTimeout = hangLimit, .silenceTimeout = hangLimit }, hooks);
    return pending;
}

Answer Cluster::call(const QByteArray& method, const std::string& url, const QByteArray& body, const std::vector<HttpHeader>& headers)
{
    return start(method, url, body, headers).wait();
}

PendingAnswer Cluster::startCompletion(const std::string& node, const CompletionOptions& options)
{
    const QJsonObject body { { "model", QString::fromStdString(options.model) }, { "prompt", QString::fromStdString(options.prompt) },
        { "max_tokens", options.maxTokens }, { "stream", options.stream } };
    std::vector<HttpHeader> headers = options.headers;
    headers.push_back({ "Authorization", "Bearer " + QByteArray::fromStdString(options.key) });
    return start("POST", urlOf(node) + "/v1/completions", QJsonDocument(body).toJson(), headers);
}

Answer Cluster::requestCompletion(const std::string& node, const CompletionOptions& options)
{
    return startCompletion(node, options).wait();
}

void Cluster::setFaults(const std::string& name, const QJsonObject& faults)
{
    ASSERT_EQ(call("POST", urlOf(name) + "/faults", QJsonDocument(faults).toJson()).status, 200);
}

QString Cluster::effectsFileOf(const std::string& name) const
{
    return folder_ + "/" + QString::fromStdString(name) + ".effects";
}

std::vector<QJsonObject> Cluster::effects(const std::string& name, const QString& what)
{
    std::vector<QJsonObject> found;
    QFile file(effectsFileOf(name));
    EXPECT_TRUE(file.open(QIODevice::ReadOnly));
    for (const QByteArray& line : file.readAll().split('\n')) {
        const QJsonObject effect = QJsonDocument::fromJson(line).object();
        if (what.isEmpty() ? !effect.isEmpty() : effect["what"].toString() == what)
            found.push_back(effect);
    }
    return found;
}

QJsonObject Cluster::status(const std::string& node)
{
    return call("GET", urlOf(node) + "/operator/status", {}, { { "Authorization", QByteArray("Bearer ") + operatorKey } }).json();
}

std::vector<QJsonObject> Cluster::wholeGroups(const std::string& node)
{
    std::vector<QJsonObject> groups;
    const QJsonObject answer = status(node);
    for (const QJsonValue& group : answer["groups"].toArray()) {
        if (group.toObject()["whole"].toBool())
            groups.push_back(group.toObject());
    }
    return groups;
}

bool Cluster::waitForGroups(const std::string& node, size_t count)
{
    return waitUntil([&] { return wholeGroups(node).size() >= count; });
}

bool Cluster::waitForReady(const std::string& node)
{
    return waitUntil([&] { return call("GET", urlOf(node) + "/readyz").status == 200; });
}

QByteArray Cluster::logOf(const std::string& name)
{
    return processes_.at(name).log;
}

qint64 Cluster::peakMemory(const std::string& name)
{
    QFile file("/proc/" + QString::number(processes_.at(name).process->processId()) + "/status");
    EXPECT_TRUE(file.open(QIODevice::ReadOnly));
    constexpr qint64 bytesPerKilobyte = 1024;
    for (const QByteArray& line : file.readAll().split('\n')) {
        if (line.startsWith("VmHWM:"))
            return line.mid(6).trimmed().split(' ').front().toLongLong() * bytesPerKilobyte;
    }
    return 0;
}

std::string makeServiceFile(int members)
{
    return R"([[priority]]
name = "urgent"
rank = 0
first_token_ms = 310
deadline_ms = 10000

[[priority]]
name = "standard"
rank = 1
first_token_ms = 2000
deadline_ms = 20000

[[priority]]
name = "batch"
rank = 2
first_token_ms = 60000
deadline_ms = 60000

[[caller]]
name = "caller"
key_sha256 = ")"
        + hashCallerKey("caller-key") + R"("
default_priority = "urgent"

[[model]]
name = "m"
pool = "models"
members = )"
        + std::to_string(members) + R"(

[[service]]
name = "orders"
pool = "orders"
path = "/orders"
)";
}

} // namespace hemlockweir
