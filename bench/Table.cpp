#include "Table.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>

namespace hemlockweir {

static double percentile(const std::vector<double>& sorted, double share)
{
    if (sorted.empty())
        return 0;
    const auto rank = static_cast<size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    return sorted[std::min(sorted.size(), std::max<size_t>(rank, 1)) - 1];
}

// Divides what was served over demands so that none gets more than it asked for and the rest is
// shared evenly.
static std::vector<double> maxMinShares(const std::vector<double>& demands, double served)
{
    std::vector<size_t> order(demands.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](size_t a, size_t b) { return demands[a] < demands[b]; });
    std::vector<double> shares(demands.size());
    size_t left = demands.size();
    for (const size_t index : order) {
        shares[index] = std::min(demands[index], served / static_cast<double>(left));
        served -= shares[index];
        --left;
    }
    return shares;
}

static double worstSmallShare(const std::vector<Sample>& samples)
{
    const std::vector<BenchCaller>& callers = benchCallers();
    std::vector<double> demands(callers.size());
    std::vector<double> got(callers.size());
    for (const Sample& sample : samples) {
        demands[sample.caller] += sample.tokens;
        if (sample.outcome == CallerOutcome::Whole)
            got[sample.caller] += sample.tokens;
    }
    const std::vector<double> shares = maxMinShares(demands, std::accumulate(got.begin(), got.end(), 0.0));
    double worst = 1;
    for (size_t i = 0; i < callers.size(); ++i) {
        if (!callers[i].isLarge && shares[i] > 0)
            worst = std::min(worst, got[i] / shares[i]);
    }
    return worst;
}

static PriorityRow summarisePriority(const std::vector<Sample>& samples, Millis duration)
{
    PriorityRow row { .sent = static_cast<int>(samples.size()) };
    std::vector<double> firstTokens;
    int small = 0;
    int smallOnTime = 0;
    double tokens = 0;
    for (const Sample& sample : samples) {
        const bool isWhole = sample.outcome == CallerOutcome::Whole;
        row.whole += isWhole ? 1 : 0;
        row.onTime += sample.isOnTime() ? 1 : 0;
        row.refused += sample.outcome == CallerOutcome::Refused ? 1 : 0;
        row.failed += sample.outcome == CallerOutcome::Failed ? 1 : 0;
        if (isWhole) {
            firstTokens.push_back(sample.firstTokenMs);
            tokens += sample.tokens;
        }
        if (!benchCallers()[sample.caller].isLarge) {
            ++small;
            smallOnTime += sample.isOnTime() ? 1 : 0;
        }
    }
    std::sort(firstTokens.begin(), firstTokens.end());
    row.p50 = percentile(firstTokens, 0.5);
    row.p95 = percentile(firstTokens, 0.95);
    row.p99 = percentile(firstTokens, 0.99);
    row.tokensPerSecond = tokens * 1000.0 / static_cast<double>(duration.count());
    row.smallOnTime = small > 0 ? static_cast<double>(smallOnTime) / small : 1;
    row.worstSmallShare = worstSmallShare(samples);
    return row;
}

std::vector<PriorityRow> summarise(const std::string& scenario, const std::string& policy, const std::vector<Sample>& samples, Millis duration)
{
    std::vector<PriorityRow> rows;
    for (size_t priority = 0; priority < benchPriorities().size(); ++priority) {
        std::vector<Sample> own;
        std::copy_if(samples.begin(), samples.end(), std::back_inserter(own), [&](const Sample& sample) { return sample.priority == priority; });
        PriorityRow row = summarisePriority(own, duration);
        row.scenario = scenario;
        row.policy = policy;
        row.priority = benchPriorities()[priority].name;
        rows.push_back(row);
    }
    return rows;
}

void printTable(const std::vector<RunResult>& results)
{
    std::puts("| scenario | policy | priority | sent | whole | on time % of sent | of not refused | refused | failed | p50 ms | p95 ms | p99 ms | tokens/s | small on time % | worst small share | node CPU ms/request | "
              "runs started/cancelled |");
    std::puts("|---|---|---|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|");
    for (const RunResult& result : results) {
        for (const PriorityRow& row : result.rows) {
            const double sent = std::max(row.sent, 1);
            const double admitted = std::max(row.sent - row.refused, 1);
            std::printf("| %s | %s | %s | %d | %d | %.1f | %.1f | %d | %d | %.0f | %.0f | %.0f | %.0f | %.1f | %.2f | %.2f | %d/%d |\n", row.scenario.c_str(), row.policy.c_str(), row.priority.c_str(), row.sent,
                row.whole, 100 * row.onTime / sent, 100 * row.onTime / admitted, row.refused, row.failed, row.p50, row.p95, row.p99, row.tokensPerSecond, 100 * row.smallOnTime, row.worstSmallShare,
                result.cpuMsPerRequest, result.started, result.cancelled);
        }
    }
    std::fflush(stdout);
}

static bool doesRowAddUp(const PriorityRow& row)
{
    const int late = row.whole - row.onTime;
    return late >= 0 && row.sent == row.onTime + late + row.refused + row.failed;
}

bool doCountsAddUp(const std::vector<RunResult>& results)
{
    return std::all_of(results.begin(), results.end(), [](const RunResult& result) {
        const int sent = std::accumulate(result.rows.begin(), result.rows.end(), 0, [](int sum, const PriorityRow& row) { return sum + row.sent; });
        return result.arrivals > 0 && sent == result.arrivals && std::all_of(result.rows.begin(), result.rows.end(), doesRowAddUp);
    });
}

} // namespace hemlockweir
