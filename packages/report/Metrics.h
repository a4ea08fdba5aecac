#pragma once

#include "base/Clock.h"

#include <functional>
#include <memory>
#include <string>

// Prometheus metrics of one node. Thread-safe.

namespace hemlockweir {

// The outcome of a caller's request, for metrics and the report.
enum class RequestEnd {
    Whole, // the complete answer was sent, first token on time
    Late, // the complete answer was sent, first token after its target
    Refused, // not run
    Failed, // run but not answered completely, or outcome unknown
    Abandoned, // the caller disconnected
};

// One finished request.
struct RequestRecord {
    std::string caller;
    std::string priority;
    RequestEnd end = RequestEnd::Whole;
    Millis firstToken { 0 }; // ms from arrival to the first token; 0: no token
    Millis total { 0 }; // ms from arrival to the end
    uint32_t tokens = 0; // tokens sent to the caller
    uint32_t attempts = 0; // number of times it was sent to an endpoint
    std::string requestId;
    std::string reason; // why it was refused or failed; empty otherwise
    std::string outcome; // "not_run", "run" or "unknown", as reported to the caller; empty without an error
};

class Metrics {
public:
    Metrics();
    ~Metrics();

    // Updates the metrics of a finished request and calls `onRequest`.
    void recordRequest(const RequestRecord& record);

    // Called for each recorded request, on any thread. Set it before the first request.
    std::function<void(const RequestRecord&)> onRequest;

    // Sets a gauge by name, such as "hemlockweir_waiting_requests".
    void setGauge(const std::string& name, const std::string& help, double value);

    // Returns all metrics in the Prometheus text format.
    std::string expose() const;

private:
    struct Families;
    std::unique_ptr<Families> families_;
};

// Returns the value of the label "end".
std::string requestEndName(RequestEnd end);

} // namespace hemlockweir
