#pragma once

#include "base/Clock.h"

#include <array>
#include <map>
#include <string>

// Keeps repeated sends from adding to an overload: in any window a service gets no more of them than
// a part of its requests and a fixed allowance, which the nodes share evenly.

namespace hemlockweir {

class RetryWindow {
public:
    struct Options {
        Clock clock;
        Millis window { 10000 }; // ms
        double retriesPerRequest = 0.2; // repeated sends for each request
        double allowance = 100; // repeated sends a window, over all nodes
    };

    explicit RetryWindow(Options options);

    // Counts a caller's request for a service.
    void noteRequest(const std::string& service);

    // Takes one repeated send; false when there is none left.
    bool tryAcquire(const std::string& service);

    // Replaces the part for each request and the allowance of all nodes.
    void setLimits(double retriesPerRequest, double allowance)
    {
        options_.retriesPerRequest = retriesPerRequest;
        options_.allowance = allowance;
    }

    // The number of nodes that share the allowance; at least 1.
    void setNodeCount(size_t count) { nodes_ = count > 0 ? count : 1; }

private:
    static constexpr size_t buckets = 20;

    struct Counts {
        std::array<double, buckets> requests {};
        std::array<double, buckets> retries {};
        int64_t newest = 0; // number of the newest bucket
    };

    Counts& currentCounts(const std::string& service);

    Options options_;
    std::map<std::string, Counts> services_;
    size_t nodes_ = 1;
};

} // namespace hemlockweir
