#pragma once

#include "base/Clock.h"

#include <functional>
#include <memory>
#include <string>

// Prometheus metrics of one node. Thread-safe.

namespace hemlockweir {

// How a caller's request ended, for metrics and the report.
enum class RequestEnd {
    Whole, // the whole answer was sent
    Late, // the whole answer was sent, the first token after its target
    Refused, // not run
    Failed, // run and not answered whole, or outcome unknown
    Abandoned, // the caller went away
};

// One finished request.
struct RequestRecord {
    std::string caller;
    std::string priority;
    RequestEnd end = RequestEnd::Whole;
    Millis firstToken { 0 }; // ms from arrival to the first token; 0 if none
    Millis total { 0 }; // ms from arrival to the end
    uint32_t tokens = 0; // tokens sent to the caller
    uint32_t attempts = 0; // times it was sent to an endpoint
    std::string requestId;
    std::string reason; // why it was refused or failed; empty otherwise
    std::string outcome; // "not_run", "run" or "unknown" as told to the caller; empty without an error
};

class Metrics {
public:
    Metrics();
    ~Metrics();

    void recordRequest(const RequestRecord& record);

    // Called for each recorded request, on any thread. Set it before the first.
    std::function<void(const RequestRecord&)> onRequest;

    // Sets a gauge by name, such as "hemlockweir_waiting_requests".
    void setGauge(const std::string& name, const std::string& help, double value);

    // All metrics in Prometheus' text format.
    std::string expose() const;

private:
    struct Families;
    std::unique_ptr<Families> families_;
};

// Returns the name of an end as it stands in labels.
std::string requestEndName(RequestEnd end);

} // namespace hemlockweir
