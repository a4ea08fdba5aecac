#pragma once

#include "base/DecisionLog.h"
#include "http/ConnectionPool.h"
#include "proxy/CrashList.h"
#include "proxy/Dispatcher.h"
#include "proxy/ProxyMetrics.h"
#include "proxy/RetryWindow.h"
#include "proxy/ServiceTimes.h"

// State shared by all requests of one node.

namespace hemlockweir {

// Names of the headers that the proxy interprets or sets; they depend on the deployment.
struct ProxyHeaders {
    std::string requestId;
    std::string deadline; // ms left for the response, as sent by the caller and to the endpoint
    std::string key; // API key of the caller; never forwarded
    std::string organisation; // owner of the key; sent to the endpoint
    std::string expectEndpoint; // id of the intended endpoint; any other rejects the request
    std::string seal; // signature of the endpoint, present on each of its responses
    std::string load; // running requests, queued requests and slots of an endpoint
    std::string notRun; // present if the endpoint did not run the request
    std::string leaving; // "1" in an answer: the endpoint leaves
    std::string requestLimit; // in an answer: requests a second that the endpoint takes from all nodes together
    std::string coldTime; // in an answer: ms for which the endpoint is still cold
    std::string faultyEndpoint; // of a rejection: id of the endpoint that caused it
    std::string model;
    std::string tokenCounts; // prompt tokens and maximum response tokens
    std::string promptPrefix; // parts of the prompt that requests share
    std::string urgency; // priority at an engine, 0 is most urgent
    std::string lastEventId; // id of the event after which a stream is resumed
};

// The time of a graceful shutdown.
struct ShutdownWindow {
    Millis startedAt { 0 };
    Millis deregisteredAt { 0 }; // from then on the balancer sends callers that were refused to other nodes
    Millis endsAt { 0 }; // when the process exits, even if requests are left

    auto operator<=>(const ShutdownWindow&) const = default;
};

struct ProxyContext {
    Clock clock;
    Random random;
    ProxyHeaders headers;
    Dispatcher& dispatcher;
    ConnectionPool& pool;
    RetryWindow& retries;
    CrashList& crashes;
    ServiceTimes& serviceTimes;
    DecisionLog& log;
    ProxyMetrics& metrics;
    std::optional<ShutdownWindow> shutdown; // set while this node shuts down
    std::shared_ptr<MemoryBudget> endpointMemory; // bytes held for endpoints; null: not counted
};

} // namespace hemlockweir
