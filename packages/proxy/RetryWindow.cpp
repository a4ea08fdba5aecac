#include "proxy/RetryWindow.h"

#include <numeric>

namespace hemlockweir {

// Fraction of the budget that this node uses. The margin is needed because the windows of the nodes are not aligned.
static constexpr double safetyFactor = 0.8;

RetryWindow::RetryWindow(Options options)
    : options_(std::move(options))
{
}

RetryWindow::Counts& RetryWindow::currentCounts(const std::string& service)
{
    Counts& counts = services_[service];
    const int64_t bucket = options_.clock() / (options_.window / static_cast<int64_t>(buckets));
    if (bucket - counts.newest >= static_cast<int64_t>(buckets))
        counts = Counts { .newest = bucket };
    while (counts.newest < bucket) {
        const size_t index = static_cast<size_t>(++counts.newest) % buckets;
        counts.requests[index] = 0;
        counts.retries[index] = 0;
    }
    return counts;
}

void RetryWindow::noteRequest(const std::string& service)
{
    Counts& counts = currentCounts(service);
    counts.requests[static_cast<size_t>(counts.newest) % buckets] += 1;
}

bool RetryWindow::hasBudget(const std::string& service)
{
    const Counts& counts = currentCounts(service);
    const double requests = std::accumulate(counts.requests.begin(), counts.requests.end(), 0.0);
    const double retries = std::accumulate(counts.retries.begin(), counts.retries.end(), 0.0);
    const double allowed = safetyFactor * (options_.retriesPerRequest * requests + options_.allowance / static_cast<double>(nodes_));
    return retries + 1 <= allowed;
}

bool RetryWindow::tryConsume(const std::string& service)
{
    if (!hasBudget(service))
        return false;
    Counts& counts = currentCounts(service);
    counts.retries[static_cast<size_t>(counts.newest) % buckets] += 1;
    return true;
}

} // namespace hemlockweir
