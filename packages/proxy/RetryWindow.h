#pragma once

#include "base/Clock.h"

#include <array>
#include <map>
#include <string>

// Retry budget over a sliding window. It keeps retries from amplifying an overload: in any window, the retries to a
// service are limited to a fraction of its requests plus a fixed allowance that the nodes share evenly.

namespace hemlockweir {

class RetryWindow {
public:
    struct Options {
        Clock clock;
        Millis window { 10000 }; // ms
        double retriesPerRequest = 0.2; // retries allowed for each request
        double allowance = 100; // additional retries per window, over all nodes
    };

    explicit RetryWindow(Options options);

    // Counts a caller's request to a service.
    void noteRequest(const std::string& service);

    // Returns whether the budget allows another retry.
    bool hasBudget(const std::string& service);

    // Consumes one retry; returns false if the budget is exhausted.
    bool tryConsume(const std::string& service);

    // Replaces the retries for each request and the allowance of all nodes.
    void setLimits(double retriesPerRequest, double allowance)
    {
        options_.retriesPerRequest = retriesPerRequest;
        options_.allowance = allowance;
    }

    // Sets the number of nodes that share the allowance; 0 counts as 1.
    void setNodeCount(size_t count) { nodes_ = count > 0 ? count : 1; }

private:
    static constexpr size_t buckets = 20;

    struct Counts {
        std::array<double, buckets> requests {};
        std::array<double, buckets> retries {};
        int64_t newest = 0; // number of the newest bucket
    };

    // Returns the counts of a service after clearing the buckets that left the window.
    Counts& currentCounts(const std::string& service);

    Options options_;
    std::map<std::string, Counts> services_;
    size_t nodes_ = 1;
};

} // namespace hemlockweir
