#pragma once

#include "base/DecisionLog.h"
#include "gateway/PlatformAdapter.h"
#include "http/HttpCall.h"
#include "proxy/ProxyMetrics.h"

// Sends orders to engines, and asks engines whether they live.

namespace hemlockweir {

class EngineOrders {
public:
    struct Options {
        Clock clock;
        Millis orderTimeout { 700 }; // ms; engines answer at once
        Millis probeTimeout { 300 }; // ms; a live engine answers within a few link delays
        std::function<void(const EngineOrder&, OrderResult)> onResult;
        std::function<void(const std::string& engine, bool isAlive)> onProbed;
    };

    EngineOrders(boost::asio::io_context& context, Options options, const PlatformAdapter& adapter, DecisionLog& log, ProxyMetrics& metrics);

    void send(const EngineOrder& order);

    // Asks an engine for its report; it lives if that is of the same start as its entry.
    void probe(const EndpointInfo& engine);

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
