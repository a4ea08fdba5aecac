#pragma once

#include "Workload.h"

#include <QElapsedTimer>
#include <QTcpSocket>
#include <QTimer>
#include <memory>

// Open-loop load: each request is sent at its time, whatever became of those before it, to the
// nodes in turn as a balancer would. One thread, one connection a request.

namespace hemlockweir {

// How a request ended, as its caller saw it.
enum class CallerOutcome {
    Whole, // the whole and right answer
    Refused, // an error that says not_run
    Failed, // anything else
};

// One finished request.
struct Sample {
    size_t caller = 0;
    size_t priority = 0;
    int tokens = 0; // tokens asked for
    CallerOutcome outcome = CallerOutcome::Failed;
    double firstTokenMs = -1; // ms from sending; below 0: no token came

    bool isOnTime() const { return outcome == CallerOutcome::Whole && firstTokenMs <= benchPriorities()[priority].firstTokenMs; }
};

struct LoadOptions {
    std::vector<std::string> nodes; // ADDRESS:PORT
    std::vector<Arrival> arrivals;
    Millis patience { 20000 }; // ms after which a caller hangs up
};

class LoadGenerator {
public:
    explicit LoadGenerator(LoadOptions options);
    ~LoadGenerator();

    // Sends everything and runs the event loop until all requests have ended.
    std::vector<Sample> run();

private:
    class Call;

    void sendDue();
    void sweep();

    LoadOptions options_;
    size_t next_ = 0; // index of the next arrival
    QElapsedTimer clock_;
    QTimer timer_;
    std::vector<std::unique_ptr<Call>> calls_;
    std::vector<Sample> samples_;
};

} // namespace hemlockweir
