#pragma once

#include "fleet/Instance.h"
#include "http/HttpClient.h"
#include "support/Wait.h"

#include <QJsonArray>
#include <QJsonObject>
#include <QProcess>
#include <QProcessEnvironment>
#include <map>
#include <memory>
#include <set>

// A whole system of real processes on loopback addresses of its own, for tests.
//
//   Cluster cluster;
//   cluster.startStore();
//   cluster.startEngines({ .count = 4, .domain = "a", .fabric = "a1" });
//   cluster.startNode({ .name = "n1", .domain = "a" });
//   cluster.publish(serviceFile);
//   Answer answer = cluster.requestCompletion("n1", { .maxTokens = 5 });
//
// Every process has an ADDRESS:PORT by name. Links through the proxy are named by their user.

namespace hemlockweir {

// The key that every node of a test expects from operators.
inline constexpr char operatorKey[] = "an operator key for tests";

// An HTTP answer, or how the call ended without one.
struct Answer {
    CallEnd end = CallEnd::NotSent;
    int status = 0;
    QByteArray body;

    QJsonObject json() const;
    // The "outcome" of an error answer; empty for others.
    QString outcome() const;
};

// A call that runs beside the test.
struct PendingAnswer {
    std::shared_ptr<HttpCall> call;
    std::shared_ptr<Answer> answer;
    std::shared_ptr<bool> isDone;
    std::shared_ptr<QByteArray> received; // bytes of the body so far

    // Waits for the end.
    Answer wait(Millis limit = hangLimit) const;
};

struct EngineGroupOptions {
    int count = 2;
    std::string domain = "a";
    std::string fabric = "a1";
    std::string pool = "models";
    std::string prefix; // of the ids; default: the fabric's name
    QStringList arguments; // for standin-engine
};

struct NodeOptions {
    std::string name = "n1";
    std::string domain = "a";
    std::vector<std::string> seeds; // names of nodes
    std::string advertised; // name of the proxy link that peers reach it by; default: directly
    std::string platform = "store"; // name whose address the node uses for the platform
    std::string settings; // more TOML: sections [limits], [timing] and [tls]
    QString tlsAuthority; // PEM file of the authority behind the node's certificate; empty: plain HTTP
};

// Many engines in one process, in groups that serve; see standins/fleet.cpp.
struct FleetOptions {
    int count = 64;
    int members = 4; // of a group
    std::string domain = "a";
    std::string prefix = "e"; // of the ids
};

// What a caller asks of a model.
struct CompletionOptions {
    std::string key = "caller-key";
    std::string model = "m";
    std::string prompt = "hello";
    int maxTokens = 4;
    bool stream = false;
    std::vector<HttpHeader> headers;
};

class Cluster {
public:
    Cluster();
    ~Cluster();

    // Processes. Each has a name, which the other calls take.
    void startStore();
    void startEngines(const EngineGroupOptions& options);
    void startEngine(const Instance& instance, const QStringList& arguments);
    void startFleet(const FleetOptions& options);
    void startService(const std::string& id, const std::string& domain, const std::string& pool);
    void startNode(const NodeOptions& options);
    // Starts any program; it is up once it answers at a path of an address. Stand-ins also get the file for their
    // effects.
    void startProgram(const std::string& name, const QString& program, const QStringList& arguments, const std::string& url);
    // Starts the proxy with links "NAME,LISTEN,TARGET[,udp]"; LISTEN as addressOf(NAME).
    void startProxy(const std::vector<std::string>& links);

    // Signals. kill() and stop() end a process for good; restart() starts it as it was.
    void kill(const std::string& name);
    void terminate(const std::string& name);
    bool waitForExit(const std::string& name);
    void pause(const std::string& name);
    void resume(const std::string& name);
    void restart(const std::string& name);

    // Processes that are started from here on give freed memory back at once. Under the address sanitizer they
    // would keep it, and their peak would say nothing of what they held.
    void disableAsanQuarantine();

    // Whether the process runs, or is paused.
    bool isRunning(const std::string& name) { return processes_.at(name).process->state() == QProcess::Running; }

    // The id of a running process.
    qint64 pidOf(const std::string& name) { return processes_.at(name).process->processId(); }

    // Addresses: the same ADDRESS:PORT each time for the same name.
    std::string addressOf(const std::string& name);
    std::string urlOf(const std::string& name) { return (tlsNodes_.contains(name) ? "https://" : "http://") + addressOf(name); }

    // The platform's instance list: what was started, with changes.
    std::vector<Instance>& instances() { return instances_; }
    void publishInstances();

    // Writes a file into the test's own folder; returns its path.
    QString writeFile(const std::string& name, const std::string& text);

    // Publishes a service file with hemlockctl; returns its exit code.
    int publish(const std::string& serviceFile);
    // Runs hemlockctl; its output is in `output`.
    int runCtl(const QStringList& arguments, QByteArray* output = nullptr);

    // HTTP.
    PendingAnswer start(const QByteArray& method, const std::string& url, const QByteArray& body = {}, const std::vector<HttpHeader>& headers = {});
    Answer call(const QByteArray& method, const std::string& url, const QByteArray& body = {}, const std::vector<HttpHeader>& headers = {});
    PendingAnswer startCompletion(const std::string& node, const CompletionOptions& options);
    Answer requestCompletion(const std::string& node, const CompletionOptions& options);

    // Stand-ins.
    void setFaults(const std::string& name, const QJsonObject& faults);
    // What a stand-in truly did, over all its restarts; an empty `what` means everything.
    std::vector<QJsonObject> effects(const std::string& name, const QString& what);

    // What a node knows, and waiting for it.
    QJsonObject status(const std::string& node);
    std::vector<QJsonObject> wholeGroups(const std::string& node);
    bool waitForGroups(const std::string& node, size_t count);
    bool waitForReady(const std::string& node);

    // Writes the logs and effects of all processes into a folder.
    void saveLogs(const QString& folder);

    // Standard error of a process so far.
    QByteArray logOf(const std::string& name);

    // Largest resident memory of a process so far, in bytes.
    qint64 peakMemory(const std::string& name);

private:
    struct Process {
        QString program;
        QStringList arguments;
        std::string url; // that answers once it is up
        std::unique_ptr<QProcess> process;
        QByteArray log;
    };

    void startProcess(const std::string& name, const QString& program, const QStringList& arguments);
    QString effectsFileOf(const std::string& name) const;

    QString folder_;
    std::map<std::string, Process> processes_;
    std::map<std::string, std::string> addresses_;
    std::set<std::string> tlsNodes_;
    std::vector<Instance> instances_;
    HttpClient client_;
    QProcessEnvironment environment_ = QProcessEnvironment::systemEnvironment(); // of processes to come
    int nextPort_ = 20000;
};

// The loopback address of one test process, so that tests run side by side. No two process ids of
// Linux (22 bits) share one: nodes of two tests at one address would join each other.
std::string loopbackAddressOf(unsigned processId);

// A service file with priorities urgent, standard and batch, one caller "caller" with the key
// "caller-key", the model "m" of `members` members and the plain service /orders.
std::string makeServiceFile(int members);

} // namespace hemlockweir
