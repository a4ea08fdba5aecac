#include "proxy/RetryWindow.h"

#include <numeric>

namespace hemlockweir {

// The part of the budget that this node uses itself: other nodes count over other windows.
static constexpr double safetyFactor = 0.8;

RetryWindow::RetryWindow(Options options)
    : options_(std::move(options))
{
}

RetryWindow::Counts& RetryWindow::countsNow(const std::string& service)
{
    Counts& counts = services_[service];
    const int64_t bucket = options_.clock() / (options_.window / static_cast<int64_t>(buckets));
    if (bucket - counts.newest >= static_cast<int64_t>(buckets))
        counts = Counts { .newest = bucket };
    while (counts.newest < bucket) {
        const size_t index = static_cast<size_t>(++counts.newest) % buckets;
        counts.requests[index] = 0;
        counts.sends[index] = 0;
    }
    return counts;
}

void RetryWindow::earn(const std::string& service)
{
    Counts& counts = countsNow(service);
    counts.requests[static_cast<size_t>(counts.newest) % buckets] += 1;
}

bool RetryWindow::take(const std::string& service)
{
    Counts& counts = countsNow(service);
    const double requests = std::accumulate(counts.requests.begin(), counts.requests.end(), 0.0);
    const double sends = std::accumulate(counts.sends.begin(), counts.sends.end(), 0.0);
    const double allowed = safetyFactor * (options_.perRequest * requests + options_.allowance / static_cast<double>(nodes_));
    if (sends + 1 > allowed)
        return false;
    counts.sends[static_cast<size_t>(counts.newest) % buckets] += 1;
    return true;
}

} // namespace hemlockweir
