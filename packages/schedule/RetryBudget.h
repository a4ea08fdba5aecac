#pragma once

#include <map>
#include <string>

// Keeps retries from adding to an overload: each caller earns a tenth of a retry with each
// request, up to a burst that covers the loss of a replica.

namespace hemlockweir {

class RetryBudget {
public:
    void earn(const std::string& caller);

    // Takes one retry; false when the caller has none left.
    bool take(const std::string& caller);

private:
    static constexpr double perRequest = 0.1;
    static constexpr double burst = 30;

    std::map<std::string, double> left_; // retries by caller; missing: the whole burst
};

} // namespace hemlockweir
