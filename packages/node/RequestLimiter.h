#pragma once

#include <map>
#include <mutex>
#include <string>

// Limits the concurrent requests of each caller at this node. A request counts from its arrival to
// the end of its answer. Thread-safe; acquires no other lock while it holds its own.

namespace hemlockweir {

class RequestLimiter {
public:
    explicit RequestLimiter(int limitPerCaller);

    // Counts a new request. Returns false if the caller has reached its limit.
    bool acquire(const std::string& caller);
    // Removes a counted request after it has ended.
    void release(const std::string& caller);

private:
    std::mutex mutex_;
    int limitPerCaller_;
    std::map<std::string, int> byCaller_;
};

} // namespace hemlockweir
