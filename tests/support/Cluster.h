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
#include <optional>
#include <set>
#include <sys/resource.h>

// Runs a complete system of real processes for tests, on loopback addresses that no other test uses.
//
//   Cluster cluster;
//   cluster.startStore();
//   cluster.startEngines({ .count = 4, .domain = "a", .fabric = "a1" });
//   cluster.startNode({ .name = "n1", .domain = "a" });
//   cluster.publish(serviceFile);
//   Answer answer = cluster.requestCompletion("n1", { .maxTokens = 5 });
//
// Each process has a name, which maps to an ADDRESS:PORT. The test chooses the names of links through
// the proxy.

namespace hemlockweir {

// The operator key of every node in a test.
inline constexpr char operatorKey[] = "an operator key for tests";

// An HTTP answer, or the way in which the call ended without one.
struct Answer {
    CallEnd end = CallEnd::NotSent;
    int status = 0;
    QByteArray body;

    QJsonObject json() const;
    // Returns the "outcome" of an error answer; empty for other answers.
    QString outcome() const;
};

// A call that runs while the test continues.
struct PendingAnswer {
    std::shared_ptr<HttpCall> call;
    std::shared_ptr<Answer> answer;
    std::shared_ptr<bool> isDone;
    std::shared_ptr<QByteArray> received; // bytes of the body so far
    std::string name; // method and URL, for messages

    // Waits for the end of the call.
    Answer wait(Millis limit = hangLimit) const;
};

struct EngineGroupOptions {
    int count = 2;
    std::string domain = "a";
    std::string fabric = "a1";
    std::string pool = "models";
    std::string prefix; // of the instance ids; default: the fabric's name
    QStringList arguments; // for standin-engine
};

struct NodeOptions {
    std::string name = "n1";
    std::string domain = "a";
    std::vector<std::string> seeds; // names of nodes
    std::string advertised; // name of the proxy link that peers connect to; default: the node itself
    std::string platform = "store"; // name of the process or link that the node uses as the platform
    std::string settings; // more TOML: sections [limits], [timing] and [tls]
    QString tlsAuthority; // PEM file of the CA that signed the node's certificate; empty: plain HTTP
};

// Many engines in one process, in serving groups; see standins/fleet.cpp.
struct FleetOptions {
    int count = 64;
    int members = 4; // of a group
    std::string domain = "a";
    std::string prefix = "e"; // of the ids
};

// A caller's request to a model.
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

    // Processes. The other functions identify them by name.
    void startStore();
    void startEngines(const EngineGroupOptions& options);
    void startEngine(const Instance& instance, const QStringList& arguments);
    void startFleet(const FleetOptions& options);
    void startService(const std::string& id, const std::string& domain, const std::string& pool);
    void startNode(const NodeOptions& options);
    // Starts a program and waits until a GET of `url` returns 200. Stand-ins also get an effects file.
    void startProgram(const std::string& name, const QString& program, const QStringList& arguments, const std::string& url);
    // Starts the proxy with links "NAME,LISTEN,TARGET[,udp]", where LISTEN is addressOf(NAME).
    void startProxy(const std::vector<std::string>& links);

    // Signals. kill() sends SIGKILL and terminate() sends SIGTERM; restart() starts the process again
    // with the same arguments. Nothing is sent to a process that has ended.
    void signal(const std::string& name, int number);
    void kill(const std::string& name);
    void terminate(const std::string& name);
    bool waitForExit(const std::string& name);
    void pause(const std::string& name);
    void resume(const std::string& name);
    void restart(const std::string& name);

    // Disables the quarantine of the address sanitizer in processes that are started from now on. The
    // quarantine keeps freed memory, so a peak of memory would not show how much was in use.
    void disableAsanQuarantine();

    // Limits the open descriptors of each process that is started from now on, as `ulimit -n` does.
    void limitDescriptors(rlim_t count) { maxDescriptors_ = count; }

    // Returns whether the process exists. Paused processes count as running.
    bool isRunning(const std::string& name) { return processes_.at(name).process->state() == QProcess::Running; }

    // Returns the exit code of a process that has ended, or -1 if a signal ended it.
    int exitCodeOf(const std::string& name);

    // Returns the process id of a running process.
    qint64 pidOf(const std::string& name) { return processes_.at(name).process->processId(); }

    // Addresses. Each name always maps to the same ADDRESS:PORT.
    std::string addressOf(const std::string& name);
    std::string urlOf(const std::string& name) { return (tlsNodes_.contains(name) ? "https://" : "http://") + addressOf(name); }

    // The platform's instance list. It contains the started instances; tests may change it.
    std::vector<Instance>& instances() { return instances_; }
    void publishInstances();

    // Writes a file into the folder of this test and returns its path.
    QString writeFile(const std::string& name, const std::string& text);

    // Publishes a service file with hemlockctl and returns its exit code.
    int publish(const std::string& serviceFile);
    // Runs hemlockctl and returns its exit code. `output` receives stdout and stderr.
    int runCtl(const QStringList& arguments, QByteArray* output = nullptr);

    // HTTP.
    PendingAnswer start(const QByteArray& method, const std::string& url, const QByteArray& body = {}, const std::vector<HttpHeader>& headers = {});
    Answer call(const QByteArray& method, const std::string& url, const QByteArray& body = {}, const std::vector<HttpHeader>& headers = {});
    PendingAnswer startCompletion(const std::string& node, const CompletionOptions& options);
    Answer requestCompletion(const std::string& node, const CompletionOptions& options);

    // Stand-ins.
    void setFaults(const std::string& name, const QJsonObject& faults);
    // Returns the recorded effects of a stand-in, across all its restarts. An empty `what` selects all.
    std::vector<QJsonObject> effects(const std::string& name, const QString& what);

    // State of a node.
    QJsonObject status(const std::string& node);
    std::vector<QJsonObject> wholeGroups(const std::string& node);
    bool waitForGroups(const std::string& node, size_t count);
    bool waitForReady(const std::string& node);

    // Writes the logs and effects of all processes into a folder.
    void saveLogs(const QString& folder);

    // Returns the output of a process so far, stdout and stderr.
    QByteArray logOf(const std::string& name);

    // Returns the peak resident memory of a process so far, in bytes.
    qint64 peakMemory(const std::string& name);

private:
    struct Process {
        QString program;
        QStringList arguments;
        std::string url; // answers 200 once the process is up
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
    QProcessEnvironment environment_ = QProcessEnvironment::systemEnvironment(); // of processes started from now on
    std::optional<rlim_t> maxDescriptors_; // of processes started from now on
    int nextPort_ = 20000;
};

// Returns the loopback address of a test process, so that tests can run in parallel. Each process id of
// Linux (22 bits) has its own address: nodes of two tests at one address would join one cluster.
std::string loopbackAddressOf(unsigned processId);

// Returns a service file with the priorities urgent, standard and batch, the caller "caller" with the
// key "caller-key", the model "m" with groups of `members` members and the plain service /orders.
std::string makeServiceFile(int members);

} // namespace hemlockweir
