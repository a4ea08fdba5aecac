#pragma once

#include "base/DecisionLog.h"
#include "gateway/PlatformAdapter.h"
#include "http/HttpCall.h"
#include "proxy/ProxyMetrics.h"

// Sends orders to engines and probes whether engines are alive.

namespace hemlockweir {

class EngineOrders {
public:
    struct Options {
        Clock clock;
        Millis orderTimeout { 700 }; // ms; engines answer immediately
        Millis probeTimeout { 300 }; // ms; a live engine answers within a few network round trips
        std::function<void(const EngineOrder&, OrderResult)> onResult;
        std::function<void(const std::string& engine, bool isAlive)> onProbed;
    };

    EngineOrders(boost::asio::io_context& context, Options options, const PlatformAdapter& adapter, DecisionLog& log, ProxyMetrics& metrics);

    // Sends an order and reports its result to onResult.
    void send(const EngineOrder& order);

    // Requests an engine's report and calls onProbed. The engine counts as alive if it answers and has not restarted
    // since its entry was written. A report without a start time counts as one of the same start.
    void probe(const EndpointInfo& engine);

    // Closes expired idle connections. Call periodically.
    void sweep() { pool_.sweep(); }

private:
    boost::asio::io_context& context_;
    Options options_;
    const PlatformAdapter& adapter_;
    DecisionLog& log_;
    ProxyMetrics& metrics_;
    ConnectionPool pool_;
};

} // namespace hemlockweir
