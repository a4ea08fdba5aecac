#include "proxy/ProxyMetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace hemlockweir {

// Upper bounds in seconds, chosen around the objectives of 0.1 to 1 s.
static const prometheus::Histogram::BucketBoundaries latencyBuckets { 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 4, 8 };

struct ProxyMetrics::Families {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& requests = prometheus::BuildCounter()
                                                            .Name("hemlockweir_proxy_requests_total")
                                                            .Help("Requests by how they ended and why")
                                                            .Register(registry);
    prometheus::Family<prometheus::Counter>& sends = prometheus::BuildCounter()
                                                         .Name("hemlockweir_proxy_sends_total")
                                                         .Help("Sends to endpoints by result")
                                                         .Register(registry);
    prometheus::Family<prometheus::Counter>& orders = prometheus::BuildCounter()
                                                          .Name("hemlockweir_engine_orders_total")
                                                          .Help("Orders to engines by operation and result")
                                                          .Register(registry);
    prometheus::Family<prometheus::Counter>& storeCalls = prometheus::BuildCounter()
                                                              .Name("hemlockweir_store_calls_total")
                                                              .Help("Calls to the platform's store by operation, key prefix and outcome")
                                                              .Register(registry);
    prometheus::Counter& storeRestores = prometheus::BuildCounter()
                                             .Name("hemlockweir_store_restores_total")
                                             .Help("Restores of the platform's store from a copy that this node learned of")
                                             .Register(registry)
                                             .Add({});
    prometheus::Family<prometheus::Gauge>& organisationUse = prometheus::BuildGauge()
                                                                 .Name("hemlockweir_organisation_use_ms")
                                                                 .Help("Recent use of an organisation over all nodes, in ms of engine time")
                                                                 .Register(registry);
    std::map<std::string, prometheus::Gauge*> organisationUses; // by organisation
    prometheus::Family<prometheus::Histogram>& firstByte = prometheus::BuildHistogram()
                                                               .Name("hemlockweir_proxy_first_byte_seconds")
                                                               .Help("From a request's first byte to its answer's first")
                                                               .Register(registry);
    prometheus::Family<prometheus::Histogram>& total = prometheus::BuildHistogram()
                                                           .Name("hemlockweir_proxy_total_seconds")
                                                           .Help("From a request's first byte to its answer's last")
                                                           .Register(registry);
};

ProxyMetrics::ProxyMetrics()
    : families_(std::make_unique<Families>())
{
}

ProxyMetrics::~ProxyMetrics() = default;

static double toSeconds(Millis time)
{
    return std::chrono::duration<double>(time).count();
}

void ProxyMetrics::countRequest(const std::string& organisation, int priority, const std::string& end, const std::string& reason)
{
    families_->requests.Add({ { "organisation", organisation }, { "priority", std::to_string(priority) }, { "end", end }, { "reason", reason } }).Increment();
}

void ProxyMetrics::observe(const std::string& organisation, int priority, Millis firstByte, Millis total)
{
    const prometheus::Labels labels { { "organisation", organisation }, { "priority", std::to_string(priority) } };
    families_->firstByte.Add(labels, latencyBuckets).Observe(toSeconds(firstByte));
    families_->total.Add(labels, latencyBuckets).Observe(toSeconds(total));
}

void ProxyMetrics::countSend(const std::string& result)
{
    families_->sends.Add({ { "result", result } }).Increment();
}

void ProxyMetrics::countOrder(const std::string& operation, const std::string& result)
{
    families_->orders.Add({ { "operation", operation }, { "result", result } }).Increment();
}

void ProxyMetrics::countStoreCall(const std::string& operation, const std::string& prefix, const std::string& outcome)
{
    families_->storeCalls.Add({ { "operation", operation }, { "prefix", prefix }, { "outcome", outcome } }).Increment();
}

void ProxyMetrics::countStoreRestore()
{
    families_->storeRestores.Increment();
}

void ProxyMetrics::setOrganisationUses(const std::map<std::string, double>& uses)
{
    std::erase_if(families_->organisationUses, [&](const auto& entry) {
        if (uses.count(entry.first) > 0)
            return false;
        families_->organisationUse.Remove(entry.second);
        return true;
    });
    for (const auto& [organisation, use] : uses) {
        prometheus::Gauge*& gauge = families_->organisationUses[organisation];
        if (!gauge)
            gauge = &families_->organisationUse.Add({ { "organisation", organisation } });
        gauge->Set(use);
    }
}

void ProxyMetrics::setGauge(const std::string& name, const std::string& help, double value)
{
    prometheus::BuildGauge().Name(name).Help(help).Register(families_->registry).Add({}).Set(value);
}

std::string ProxyMetrics::expose() const
{
    return prometheus::TextSerializer().Serialize(families_->registry.Collect());
}

} // namespace hemlockweir
