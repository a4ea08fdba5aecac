#pragma once

#include "base/DecisionLog.h"
#include "http/ConnectionPool.h"
#include "proxy/CrashList.h"
#include "proxy/Dispatcher.h"
#include "proxy/ProxyMetrics.h"
#include "proxy/RetryWindow.h"

// What the requests of one node share.

namespace hemlockweir {

// The names of headers with a meaning of their own, as the deployment spells them.
struct ProxyHeaders {
    std::string requestId;
    std::string deadline; // ms that the caller, or the endpoint, has left
    std::string key; // the caller's key; never passed on
    std::string organisation; // whom the key belongs to, towards the endpoint
    std::string expectEndpoint; // the endpoint that is meant; any other refuses
    std::string seal; // the endpoint's signature, on every answer of its own
    std::string load; // running, waiting and slots of an endpoint
    std::string notRun; // the endpoint did not run the request
    std::string model;
    std::string tokenCounts; // tokens of the prompt, and most tokens of the answer
    std::string urgency; // towards the engine, 0 is first
    std::string lastEventId; // the event after which a stream goes on
};

struct ProxyContext {
    Clock clock;
    Random random;
    ProxyHeaders headers;
    Dispatcher& dispatcher;
    ConnectionPool& pool;
    RetryWindow& retries;
    CrashList& crashes;
    DecisionLog& log;
    ProxyMetrics& metrics;
};

} // namespace hemlockweir
