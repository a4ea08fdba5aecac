#pragma once

#include "Workload.h"

#include <QElapsedTimer>
#include <QTcpSocket>
#include <QTimer>
#include <functional>
#include <memory>

// Open-loop load: each request is sent at its time, whatever became of those before it, to the
// nodes in turn as a balancer would. One thread, one connection a request. An order that is not
// answered is sent again under the same idempotency key, as its caller would.

namespace hemlockweir {

// How a request ended, as its caller saw it.
enum class CallerOutcome {
    Complete, // the whole and right answer
    Refused, // an error that says not_run
    Failed, // anything else
};

// One finished request.
struct Sample {
    size_t caller = 0;
    size_t priority = 0;
    int tokens = 0; // tokens asked for
    CallerOutcome outcome = CallerOutcome::Failed;
    double firstTokenMs = -1; // ms from sending, delays to callers included; below 0: no token came
    bool isOrder = false;
    std::string error = {}; // what a failed request was told; empty: nothing

    bool isOnTime() const { return outcome == CallerOutcome::Complete && firstTokenMs <= benchPriorities()[priority].firstTokenMs; }
};

struct LoadOptions {
    std::vector<std::string> nodes; // ADDRESS:PORT
    std::vector<Arrival> arrivals;
    std::function<bool(size_t node)> isInRotation; // whether the balancer sends to a node
    double delayMs = 0; // ms one way between callers and nodes, added to what is measured
    Millis timeout { 20000 }; // ms after which a caller hangs up
};

class LoadGenerator {
public:
    explicit LoadGenerator(LoadOptions options);
    ~LoadGenerator();

    // Sends everything and runs the event loop until all requests have ended.
    std::vector<Sample> run();

    // The longest time that a request was sent late, in ms: beyond some tens the generator or the
    // machine is the limit, and the run measures that.
    double maxLagMs() const { return static_cast<double>(maxLagMs_); }

private:
    class Call;

    // An order to be sent again.
    struct Retry {
        qint64 at = 0; // ms from the start
        Arrival arrival;
        int sends = 0; // so far
    };

    void sendDue();
    void sendDueRetries();
    void send(const Arrival& arrival, int sends);
    bool shouldRetry(const Call& call) const;
    Sample addDelay(Sample sample) const;
    void collectFinishedCalls();

    LoadOptions options_;
    size_t nextArrival_ = 0; // index of the next arrival
    size_t nextNode_ = 0; // of the nodes
    qint64 maxLagMs_ = 0;
    std::vector<Retry> retries_;
    QElapsedTimer clock_;
    QTimer timer_;
    std::vector<std::unique_ptr<Call>> calls_;
    std::vector<Sample> samples_;
};

} // namespace hemlockweir
