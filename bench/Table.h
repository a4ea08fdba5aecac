#pragma once

#include "LoadGenerator.h"

#include <map>

// Summarises the samples of a run and prints the result tables.

namespace hemlockweir {

// Results for the requests of one priority in one run.
struct PriorityRow {
    std::string priority;
    int sent = 0;
    int complete = 0; // complete answers, on time or late
    int onTime = 0; // complete answers whose first token met the target
    int refused = 0; // answered with "not run"
    int failed = 0;
    double p50 = 0; // ms to the first token of complete answers
    double p95 = 0;
    double p99 = 0;
    double tokensPerSecond = 0; // of complete answers
    double onTimeOfFeasible = 1; // 0..1, on-time tokens / requested tokens that fit the capacity
    int smallSent = 0; // requests of small callers
    double smallOnTime = 1; // 0..1, fraction of the small callers' requests answered on time
    double smallFairness = 1; // tokens / max-min fair share, of all small callers together
    double worstSmallFairness = 1; // the lowest ratio of a single small caller
    int worstSmallFairnessSent = 0; // requests of that caller: the sample size of its ratio
};

// Identifies a run.
struct RunInfo {
    std::string scenario;
    std::string policy;
    Millis duration { 0 }; // ms during which requests arrive
    double capacityTokens = 0; // tokens/s that the engines generate when every slot is in use
};

// Results of one scenario with one policy.
struct RunResult {
    RunInfo info;
    std::vector<PriorityRow> rows; // by priority
    int arrivals = 0; // scheduled requests
    double cpuMsPerRequest = 0; // of all nodes together
    int started = 0; // runs that engines started
    int cancelled = 0; // runs that engines cancelled
    int ordersSent = 0;
    int ordersAnswered = 0;
    int ordersRefused = 0; // answered with "not run" on the last attempt
    int duplicateOrders = 0; // orders executed again for the same idempotency key
    int runsOnIncompleteGroups = 0; // runs started after a member was killed, and finished
    double downtimeSeconds = 0; // group-seconds, as reported by the nodes
    double strandedSeconds = 0; // accelerator-seconds, as reported by the nodes
    double residualCapacityUsed = 1; // 0..1, tokens of the other priorities / min(their demand, capacity left by urgent work)
    double loadAverage = 0; // of the machine, at the end of the run
    double idleNotAsked = 0; // slot-seconds, as reported by the nodes
    double idleKeptForUrgent = 0; // slot-seconds
    double idleNotFound = 0; // slot-seconds
    double maxLagMs = 0; // of the load generator
    std::map<std::string, int> failures; // failed requests by priority and error message
};

// Computes the rows, the order counts, the failures and the use of residual capacity from samples. The
// caller sets the other fields.
RunResult summarise(const RunInfo& info, const std::vector<Sample>& samples);

// Prints two Markdown tables, one by priority and one by run, and the failure reasons.
void printTable(const std::vector<RunResult>& results);

// Checks that no request is missing: arrivals = sent, and sent = on time + late + refused + failed.
bool areCountsConsistent(const std::vector<RunResult>& results);

} // namespace hemlockweir
