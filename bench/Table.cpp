#include "Table.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <numeric>

namespace hemlockweir {

static double percentile(const std::vector<double>& sorted, double fraction)
{
    if (sorted.empty())
        return 0;
    const auto rank = static_cast<size_t>(std::ceil(fraction * static_cast<double>(sorted.size())));
    return sorted[std::min(sorted.size(), std::max<size_t>(rank, 1)) - 1];
}

// Returns the max-min fair shares of `served` for the given demands: no share exceeds its demand, and
// the unsatisfied demands get equal shares.
static std::vector<double> maxMinFairShares(const std::vector<double>& demands, double served)
{
    std::vector<size_t> order(demands.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](size_t a, size_t b) { return demands[a] < demands[b]; });
    std::vector<double> fairShares(demands.size());
    size_t remaining = demands.size();
    for (const size_t index : order) {
        fairShares[index] = std::min(demands[index], served / static_cast<double>(remaining));
        served -= fairShares[index];
        --remaining;
    }
    return fairShares;
}

// Sets the ratios of the small callers' tokens of one priority to their max-min fair shares.
static void addSmallCallerFairness(PriorityRow& row, const std::vector<Sample>& samples)
{
    const std::vector<BenchCaller>& callers = benchCallers();
    std::vector<double> demands(callers.size());
    std::vector<double> servedTokens(callers.size());
    std::vector<int> sent(callers.size());
    for (const Sample& sample : samples) {
        demands[sample.caller] += sample.tokens;
        ++sent[sample.caller];
        if (sample.outcome == CallerOutcome::Complete)
            servedTokens[sample.caller] += sample.tokens;
    }
    const std::vector<double> fairShares = maxMinFairShares(demands, std::accumulate(servedTokens.begin(), servedTokens.end(), 0.0));
    double totalServed = 0;
    double totalFairShares = 0;
    for (size_t i = 0; i < callers.size(); ++i) {
        if (callers[i].isLarge || fairShares[i] <= 0)
            continue;
        totalServed += std::min(servedTokens[i], fairShares[i]);
        totalFairShares += fairShares[i];
        if (row.worstSmallFairnessSent == 0 || servedTokens[i] / fairShares[i] < row.worstSmallFairness) {
            row.worstSmallFairness = servedTokens[i] / fairShares[i];
            row.worstSmallFairnessSent = sent[i];
        }
    }
    row.smallFairness = totalFairShares > 0 ? totalServed / totalFairShares : 1;
}

static double sumTokens(const std::vector<Sample>& samples, const std::function<bool(const Sample&)>& isCounted)
{
    return std::accumulate(samples.begin(), samples.end(), 0.0, [&](double sum, const Sample& sample) { return sum + (isCounted(sample) ? sample.tokens : 0); });
}

static bool isComplete(const Sample& sample)
{
    return sample.outcome == CallerOutcome::Complete;
}

static PriorityRow summarisePriority(const std::vector<Sample>& samples, const RunInfo& info)
{
    PriorityRow row { .sent = static_cast<int>(samples.size()) };
    std::vector<double> firstTokens;
    int smallOnTime = 0;
    for (const Sample& sample : samples) {
        row.complete += isComplete(sample) ? 1 : 0;
        row.onTime += sample.isOnTime() ? 1 : 0;
        row.refused += sample.outcome == CallerOutcome::Refused ? 1 : 0;
        row.failed += sample.outcome == CallerOutcome::Failed ? 1 : 0;
        if (isComplete(sample))
            firstTokens.push_back(sample.firstTokenMs);
        if (!benchCallers()[sample.caller].isLarge) {
            ++row.smallSent;
            smallOnTime += sample.isOnTime() ? 1 : 0;
        }
    }
    std::sort(firstTokens.begin(), firstTokens.end());
    row.p50 = percentile(firstTokens, 0.5);
    row.p95 = percentile(firstTokens, 0.95);
    row.p99 = percentile(firstTokens, 0.99);
    const double seconds = static_cast<double>(info.duration.count()) / 1000.0;
    row.tokensPerSecond = sumTokens(samples, isComplete) / seconds;
    const double target = benchPriorities()[samples.empty() ? 0 : samples.front().priority].firstTokenMs / 1000.0;
    const double feasible = std::min(sumTokens(samples, [](const Sample&) { return true; }), info.capacityTokens * (seconds + target));
    row.onTimeOfFeasible = feasible > 0 ? sumTokens(samples, [](const Sample& sample) { return sample.isOnTime(); }) / feasible : 1;
    row.smallOnTime = row.smallSent > 0 ? static_cast<double>(smallOnTime) / row.smallSent : 1;
    addSmallCallerFairness(row, samples);
    return row;
}

static void addOrderCounts(RunResult& result, const std::vector<Sample>& samples)
{
    for (const Sample& sample : samples) {
        if (!sample.isOrder)
            continue;
        ++result.ordersSent;
        result.ordersAnswered += isComplete(sample) ? 1 : 0;
        result.ordersRefused += sample.outcome == CallerOutcome::Refused ? 1 : 0;
    }
}

// Returns the tokens served to the lower priorities as a fraction of the smaller of two amounts: the
// capacity left by the most urgent priority, and the demand of the lower priorities.
static double residualCapacityUsed(const RunInfo& info, const std::vector<Sample>& samples)
{
    // The last arrivals may be answered on time after the arrival period has ended.
    const double seconds = (static_cast<double>(info.duration.count()) + benchPriorities().back().firstTokenMs) / 1000.0;
    const auto isOther = [](const Sample& sample) { return !sample.isOrder && sample.priority > 0; };
    const double urgent = sumTokens(samples, [&](const Sample& sample) { return !sample.isOrder && sample.priority == 0 && isComplete(sample); });
    const double remaining = std::min(std::max(0.0, info.capacityTokens * seconds - urgent), sumTokens(samples, isOther));
    const double servedTokens = sumTokens(samples, [&](const Sample& sample) { return isOther(sample) && isComplete(sample); });
    return remaining > 0 ? servedTokens / remaining : 1;
}

RunResult summarise(const RunInfo& info, const std::vector<Sample>& samples)
{
    RunResult result { .info = info };
    for (size_t priority = 0; priority < benchPriorities().size(); ++priority) {
        std::vector<Sample> samplesOfPriority;
        std::copy_if(samples.begin(), samples.end(), std::back_inserter(samplesOfPriority), [&](const Sample& sample) { return !sample.isOrder && sample.priority == priority; });
        PriorityRow row = summarisePriority(samplesOfPriority, info);
        row.priority = benchPriorities()[priority].name;
        result.rows.push_back(row);
    }
    for (const Sample& sample : samples) {
        if (sample.outcome == CallerOutcome::Failed)
            ++result.failures[(sample.isOrder ? "order" : benchPriorities()[sample.priority].name) + ": " + (sample.error.empty() ? "no error" : sample.error)];
    }
    addOrderCounts(result, samples);
    result.residualCapacityUsed = residualCapacityUsed(info, samples);
    return result;
}

static void printRow(const RunInfo& info, const PriorityRow& row)
{
    const double sent = std::max(row.sent, 1);
    const double admitted = std::max(row.sent - row.refused, 1);
    std::printf("| %s | %s | %s | %d | %d | %.1f | %.1f | %.1f | %d | %d | %.0f | %.0f | %.0f | %.0f | %.1f of %d | %.2f | %.2f of %d |\n", info.scenario.c_str(), info.policy.c_str(), row.priority.c_str(),
        row.sent, row.complete, 100 * row.onTime / sent, 100 * row.onTime / admitted, 100 * row.onTimeOfFeasible, row.refused, row.failed, row.p50, row.p95, row.p99, row.tokensPerSecond,
        100 * row.smallOnTime, row.smallSent, row.smallFairness, row.worstSmallFairness, row.worstSmallFairnessSent);
}

static void printRun(const RunResult& result)
{
    std::printf("| %s | %s | %d | %d | %d | %d | %d | %.1f | %.1f | %.2f | %.0f, %.0f, %.0f | %.2f | %d/%d | %.1f | %.0f |\n", result.info.scenario.c_str(), result.info.policy.c_str(), result.ordersSent, result.ordersAnswered,
        result.ordersRefused, result.duplicateOrders, result.runsOnIncompleteGroups, result.downtimeSeconds, result.strandedSeconds, result.residualCapacityUsed, result.idleNotAsked, result.idleKeptForUrgent, result.idleNotFound, result.cpuMsPerRequest, result.started, result.cancelled, result.loadAverage, result.maxLagMs);
}

static void printFailures(const RunResult& result)
{
    for (const auto& [reason, count] : result.failures)
        std::printf("- failed in %s, %s: %d %s\n", result.info.scenario.c_str(), result.info.policy.c_str(), count, reason.c_str());
}

void printTable(const std::vector<RunResult>& results)
{
    std::puts("| scenario | policy | priority | sent | whole | on time % of sent | of not refused | tokens on time % of what fits | refused | failed | p50 ms | p95 ms | p99 ms | tokens/s | small on time % | small share | worst small share |");
    std::puts("|---|---|---|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|");
    for (const RunResult& result : results) {
        for (const PriorityRow& row : result.rows)
            printRow(result.info, row);
    }
    std::puts("\n| scenario | policy | orders sent | answered | refused | harmful repeats | runs on incomplete groups | group downtime s | stranded accelerator-s | left over used | idle slot-s: not asked, kept for urgent, not found | node CPU ms/request | runs started/cancelled | load average | generator's worst lag ms |");
    std::puts("|---|---|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|");
    for (const RunResult& result : results)
        printRun(result);
    std::puts("");
    for (const RunResult& result : results)
        printFailures(result);
    std::fflush(stdout);
}

static bool isRowConsistent(const PriorityRow& row)
{
    const int late = row.complete - row.onTime;
    return late >= 0 && row.sent == row.onTime + late + row.refused + row.failed;
}

bool areCountsConsistent(const std::vector<RunResult>& results)
{
    return std::all_of(results.begin(), results.end(), [](const RunResult& result) {
        const int sent = std::accumulate(result.rows.begin(), result.rows.end(), result.ordersSent, [](int sum, const PriorityRow& row) { return sum + row.sent; });
        return result.arrivals > 0 && sent == result.arrivals && std::all_of(result.rows.begin(), result.rows.end(), isRowConsistent);
    });
}

} // namespace hemlockweir
