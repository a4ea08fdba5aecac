#pragma once

#include "LoadGenerator.h"

#include <map>

// What a run's samples add up to, and the table that is printed.

namespace hemlockweir {

// Service of the requests of one priority in one run.
struct PriorityRow {
    std::string priority;
    int sent = 0;
    int complete = 0; // answered whole, in time or late
    int onTime = 0; // answered whole, first token in its target
    int refused = 0; // not run
    int failed = 0;
    double p50 = 0; // ms to the first token, of those answered whole
    double p95 = 0;
    double p99 = 0;
    double tokensPerSecond = 0; // of whole answers
    double onTimeOfFeasible = 1; // 0..1, tokens answered on time, of those asked that fit the capacity
    int smallSent = 0; // requests of small callers
    double smallOnTime = 1; // 0..1, share of the small callers' requests answered whole and on time
    double smallFairness = 1; // the small callers' tokens together to their max-min fair shares
    double worstSmallFairness = 1; // least of the same ratio of one small caller
    int worstSmallFairnessSent = 0; // requests of that caller, on which its ratio stands
};

// What a run was.
struct RunInfo {
    std::string scenario;
    std::string policy;
    Millis duration { 0 }; // ms of arrivals
    double capacityTokens = 0; // tokens a second that the engines generate when they are full
};

// One run of a scenario under a policy.
struct RunResult {
    RunInfo info;
    std::vector<PriorityRow> rows; // by priority
    int arrivals = 0; // requests that were to be sent
    double cpuMsPerRequest = 0; // of all nodes together
    int started = 0; // runs that engines started
    int cancelled = 0; // runs that engines cancelled
    int ordersSent = 0;
    int ordersAnswered = 0;
    int ordersRefused = 0; // "not run" to the last
    int duplicateOrders = 0; // orders that ran beyond the first of their key
    int runsOnIncompleteGroups = 0; // runs that began after a member had died and were finished
    double downtimeSeconds = 0; // of groups, as the nodes report it
    double strandedSeconds = 0; // accelerator-seconds, as the nodes report it
    double residualCapacityUsed = 1; // 0..1, tokens of the other priorities, of what urgent work left over or they asked
    double loadAverage = 0; // of the machine, at the end
    double idleNotAsked = 0; // slot-seconds, as the nodes count them
    double idleKeptForUrgent = 0; // slot-seconds
    double idleNotFound = 0; // slot-seconds
    double maxLagMs = 0; // of the load generator
    std::map<std::string, int> failures; // failed requests by what they were told
};

// Sums samples up: the rows, and what is said of orders and of the capacity left over.
RunResult summarise(const RunInfo& info, const std::vector<Sample>& samples);

// Prints results as two Markdown tables, by priority and by run, and why requests failed.
void printTable(const std::vector<RunResult>& results);

// Checks that nothing is lost: arrivals = sent, and sent = on time + late + refused + failed.
bool areCountsConsistent(const std::vector<RunResult>& results);

} // namespace hemlockweir
