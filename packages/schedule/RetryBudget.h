#pragma once

#include <map>
#include <string>

// Limits retries so that they do not amplify an overload. Each request earns its caller a tenth of a retry, up to a
// maximum that covers the loss of a replica.

namespace hemlockweir {

class RetryBudget {
public:
    // Credits a caller for one request that is not a retry.
    void credit(const std::string& caller);

    // Consumes one retry. Returns false if the caller has none left.
    bool tryConsume(const std::string& caller);

private:
    static constexpr double creditPerRequest = 0.1;
    static constexpr double maxCredit = 30;

    std::map<std::string, double> remaining_; // retries by caller; missing: maxCredit
};

} // namespace hemlockweir
