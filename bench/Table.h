#pragma once

#include "LoadGenerator.h"

// What a run's samples add up to, and the table that is printed.

namespace hemlockweir {

// Service of the requests of one priority in one run.
struct PriorityRow {
    std::string scenario;
    std::string policy;
    std::string priority;
    int sent = 0;
    int whole = 0; // answered whole, in time or late
    int onTime = 0; // answered whole, first token in its target
    int refused = 0; // not run
    int failed = 0;
    double p50 = 0; // ms to the first token, of those answered whole
    double p95 = 0;
    double p99 = 0;
    double tokensPerSecond = 0; // of whole answers
    double smallOnTime = 1; // 0..1, share of the small callers' requests answered whole and on time
    double worstSmallShare = 1; // least ratio of a small caller's tokens to its max-min fair share
};

// One run of a scenario under a policy.
struct RunResult {
    std::vector<PriorityRow> rows; // by priority
    int arrivals = 0; // requests that were to be sent
    double cpuMsPerRequest = 0; // of all nodes together
    int started = 0; // runs that engines started
    int cancelled = 0; // runs that engines cancelled
};

// Sums samples up by priority.
std::vector<PriorityRow> summarise(const std::string& scenario, const std::string& policy, const std::vector<Sample>& samples, Millis duration);

// Prints results as one Markdown table.
void printTable(const std::vector<RunResult>& results);

// Checks that nothing is lost: arrivals = sent, and sent = on time + late + refused + failed.
bool doCountsAddUp(const std::vector<RunResult>& results);

} // namespace hemlockweir
