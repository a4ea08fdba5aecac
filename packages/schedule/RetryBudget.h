#pragma once

#include <map>
#include <string>

// Keeps retries from adding to an overload: each caller earns a tenth of a retry with each
// request, up to a maxCredit that covers the loss of a replica.

namespace hemlockweir {

class RetryBudget {
public:
    void credit(const std::string& caller);

    // Takes one retry; false when the caller has none remaining.
    bool tryConsume(const std::string& caller);

private:
    static constexpr double creditPerRequest = 0.1;
    static constexpr double maxCredit = 30;

    std::map<std::string, double> remaining_; // retries by caller; missing: the whole maxCredit
};

} // namespace hemlockweir
