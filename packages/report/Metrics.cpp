#include "report/Metrics.h"

#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <set>
#include <sstream>

namespace hemlockweir {

// Further callers share one label value, which bounds the number of time series.
static constexpr size_t maxCallerLabels = 200;

static const prometheus::Histogram::BucketBoundaries secondsBuckets { 0.01, 0.025, 0.05, 0.1, 0.2, 0.31, 0.5, 1, 2, 5, 10, 30, 60, 300 };

struct Metrics::Families {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& requests = prometheus::BuildCounter().Name("hemlockweir_requests_total").Help("Requests by caller, priority and end").Register(registry);
    prometheus::Family<prometheus::Counter>& tokens = prometheus::BuildCounter().Name("hemlockweir_tokens_total").Help("Tokens sent to callers").Register(registry);
    prometheus::Family<prometheus::Histogram>& firstToken = prometheus::BuildHistogram().Name("hemlockweir_first_token_seconds").Help("Time from arrival to the first token").Register(registry);
    prometheus::Family<prometheus::Histogram>& total = prometheus::BuildHistogram().Name("hemlockweir_request_seconds").Help("Time from arrival to the end").Register(registry);
    std::mutex mutex; // guards callers; no other lock is acquired under it
    std::set<std::string> callers;

    std::string labelOf(const std::string& caller)
    {
        std::lock_guard lock(mutex);
        if (callers.contains(caller))
            return caller;
        if (callers.size() >= maxCallerLabels)
            return "other";
        callers.insert(caller);
        return caller;
    }
};

Metrics::Metrics()
    : families_(std::make_unique<Families>())
{
}

Metrics::~Metrics() = default;

std::string requestEndName(RequestEnd end)
{
    switch (end) {
    case RequestEnd::Whole:
        return "whole";
    case RequestEnd::Late:
        return "late";
    case RequestEnd::Refused:
        return "refused";
    case RequestEnd::Failed:
        return "failed";
    case RequestEnd::Abandoned:
        return "abandoned";
    }
    return "failed";
}

void Metrics::recordRequest(const RequestRecord& record)
{
    if (onRequest)
        onRequest(record);
    const std::string caller = families_->labelOf(record.caller);
    const prometheus::Labels labels { { "caller", caller }, { "priority", record.priority } };
    prometheus::Labels withEnd = labels;
    withEnd["end"] = requestEndName(record.end);
    families_->requests.Add(withEnd).Increment();
    families_->tokens.Add(labels).Increment(record.tokens);
    constexpr double msPerSecond = 1000.0;
    if (record.firstToken.count() > 0)
        families_->firstToken.Add(labels, secondsBuckets).Observe(static_cast<double>(record.firstToken.count()) / msPerSecond);
    families_->total.Add(labels, secondsBuckets).Observe(static_cast<double>(record.total.count()) / msPerSecond);
}

void Metrics::setGauge(const std::string& name, const std::string& help, double value)
{
    prometheus::BuildGauge().Name(name).Help(help).Register(families_->registry).Add({}).Set(value);
}

std::string Metrics::expose() const
{
    std::ostringstream stream;
    prometheus::TextSerializer().Serialize(stream, families_->registry.Collect());
    return stream.str();
}

} // namespace hemlockweir
