#pragma once

#include "Workload.h"

#include <QElapsedTimer>
#include <QTcpSocket>
#include <QTimer>
#include <functional>
#include <memory>

// Generates open-loop load: each request is sent at its scheduled time, regardless of the outcome of
// earlier ones. Requests go to the nodes round-robin, as from a load balancer. Uses one thread, and one
// connection per request. An order without a successful answer is retried with the same idempotency
// key, as a caller would do.

namespace hemlockweir {

// The outcome of a request as its caller sees it.
enum class CallerOutcome {
    Complete, // a complete and correct answer
    Refused, // an error that states not_run
    Failed, // anything else
};

// One finished request.
struct Sample {
    size_t caller = 0;
    size_t priority = 0;
    int tokens = 0; // requested tokens
    CallerOutcome outcome = CallerOutcome::Failed;
    double firstTokenMs = -1; // ms from sending, with the delay to callers; negative: no token received
    bool isOrder = false;
    std::string error = {}; // error message of a failed request; empty: none

    bool isOnTime() const { return outcome == CallerOutcome::Complete && firstTokenMs <= benchPriorities()[priority].firstTokenMs; }
};

struct LoadOptions {
    std::vector<std::string> nodes; // ADDRESS:PORT
    std::vector<Arrival> arrivals;
    std::function<bool(size_t node)> isInRotation; // whether the balancer sends to a node; empty: to all
    double delayMs = 0; // ms one way between callers and nodes, added to the measured times
    Millis timeout { 20000 }; // ms after which a caller closes the connection
};

class LoadGenerator {
public:
    explicit LoadGenerator(LoadOptions options);
    ~LoadGenerator();

    // Sends all requests and runs the event loop until they have finished.
    std::vector<Sample> run();

    // Returns the largest delay in ms of a request behind its schedule. Above some tens of ms, the
    // generator or the machine is the bottleneck, and the run measures that instead of the nodes.
    double maxLagMs() const { return static_cast<double>(maxLagMs_); }

private:
    class Call;

    // An order to send again.
    struct Retry {
        qint64 at = 0; // ms since the start of the run
        Arrival arrival;
        int attempts = 0; // times sent so far
    };

    void sendDue();
    void sendDueRetries();
    void send(const Arrival& arrival, int attempts);
    bool shouldRetry(const Call& call) const;
    Sample addDelay(Sample sample) const;
    void collectFinishedCalls();

    LoadOptions options_;
    size_t nextArrival_ = 0; // index into options_.arrivals
    size_t nextNode_ = 0; // round-robin counter; modulo the number of nodes
    qint64 maxLagMs_ = 0;
    std::vector<Retry> retries_;
    QElapsedTimer clock_;
    QTimer timer_;
    std::vector<std::unique_ptr<Call>> calls_;
    std::vector<Sample> samples_;
};

} // namespace hemlockweir
