#pragma once

#include "base/Clock.h"

#include <memory>
#include <string>

// Counters and histograms of the reverse proxy, by organisation and priority. One thread.

namespace hemlockweir {

class ProxyMetrics {
public:
    ProxyMetrics();
    ~ProxyMetrics();

    // A request ended: how it ended ("served", "late", "refused", "failed", "abandoned") and why.
    void countRequest(const std::string& organisation, int priority, const std::string& end, const std::string& reason);

    // Times of a request that was served, from its first byte.
    void observe(const std::string& organisation, int priority, Millis firstByte, Millis total);

    // A send to an endpoint ended.
    void countSend(const std::string& result);

    // An order to an engine, by operation and result.
    void countOrder(const std::string& operation, const std::string& result);

    // A call to the platform's store ended, by operation, key prefix and outcome.
    void countStoreCall(const std::string& operation, const std::string& prefix, const std::string& outcome);

    void setGauge(const std::string& name, const std::string& help, double value);

    // All metrics in Prometheus' text format.
    std::string expose() const;

private:
    struct Families;
    std::unique_ptr<Families> families_;
};

} // namespace hemlockweir
