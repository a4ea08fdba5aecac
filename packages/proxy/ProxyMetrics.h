#pragma once

#include "base/Clock.h"

#include <map>
#include <memory>
#include <string>

// Counters and histograms of the reverse proxy, by organisation and priority. Not thread-safe.

namespace hemlockweir {

class ProxyMetrics {
public:
    ProxyMetrics();
    ~ProxyMetrics();

    // Counts a request by how it ended ("served", "late", "refused", "failed" or "abandoned") and why.
    void countRequest(const std::string& organisation, int priority, const std::string& end, const std::string& reason);

    // Records the latencies of a served request.
    void observe(const std::string& organisation, int priority, Millis firstByte, Millis total);

    // Counts a send to an endpoint by its result.
    void countSend(const std::string& result);

    // Counts an order to an engine by operation and result.
    void countOrder(const std::string& operation, const std::string& result);

    // Counts a call to the platform's store by operation, key prefix and outcome.
    void countStoreCall(const std::string& operation, const std::string& prefix, const std::string& outcome);

    // Counts a restore of the platform's store from a copy.
    void countStoreRestore();

    // Sets the recent use of each organisation, in ms of engine time over all nodes. Others are no longer exposed.
    void setOrganisationUses(const std::map<std::string, double>& uses);

    // Sets a gauge; registers it on first use.
    void setGauge(const std::string& name, const std::string& help, double value);

    // Returns all metrics in the Prometheus text format.
    std::string expose() const;

private:
    struct Families;
    std::unique_ptr<Families> families_;
};

} // namespace hemlockweir
