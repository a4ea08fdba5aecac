#pragma once

#include <map>
#include <mutex>
#include <string>

// Requests at this node by caller, from arrival to the end of the answer. Thread-safe; its lock
// is a leaf.

namespace hemlockweir {

class RequestLimiter {
public:
    explicit RequestLimiter(int limitPerCaller);

    // Counts a request in; false when the caller has as many as it may.
    bool acquire(const std::string& caller);
    void release(const std::string& caller);

private:
    std::mutex mutex_;
    int limitPerCaller_;
    std::map<std::string, int> byCaller_;
};

} // namespace hemlockweir
