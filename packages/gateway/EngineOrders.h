#pragma once

#include "base/DecisionLog.h"
#include "gateway/PlatformAdapter.h"
#include "http/HttpCall.h"
#include "proxy/ProxyMetrics.h"

#include <deque>

// Sends orders to engines and probes whether engines are alive.

namespace hemlockweir {

class EngineOrders {
public:
    struct Options {
        Clock clock;
        Millis orderTimeout { 700 }; // ms; engines answer immediately
        Millis probeTimeout { 300 }; // ms; a live engine answers within a few network round trips
        size_t maxConcurrentOrders = 48; // more wait in a queue, so that none times out while this node is busy with the others
        std::function<bool()> mayOrder; // whether this node still is the planner, checked again when an order is sent
        std::function<bool(const std::string& domain)> isEvacuated; // whether nothing may be sent to a failure domain, checked at the same times; empty: to none
        std::function<void(const EngineOrder&, OrderResult)> onResult;
        std::function<void(const std::string& engine, bool isAlive, const std::optional<MembershipReport>&)> onProbed; // without a report if the answer tells nothing of its replica
    };

    EngineOrders(boost::asio::io_context& context, Options options, const PlatformAdapter& adapter, DecisionLog& log, ProxyMetrics& metrics);

    // Sends an order, at once or after others, and reports its result to onResult. An order that this node may not give
    // any more when its turn comes, or when the engine has accepted the connection, is reported as Unsent: it is no longer
    // the planner, or the engine's failure domain is evacuated.
    void send(const EngineOrder& order);

    // Requests an engine's report and calls onProbed. The engine counts as alive if it answers and has not restarted
    // since its entry was written. A report without a start time counts as one of the same start. An answer other than a
    // report, such as an error, shows only that the engine is alive. An engine in an evacuated failure domain is not asked,
    // and onProbed is not called.
    void probe(const EndpointInfo& engine);

    // Closes expired idle connections. Call periodically.
    void sweep() { pool_.sweep(); }

private:
    bool isEvacuated(const std::string& domain) const { return options_.isEvacuated && options_.isEvacuated(domain); }
    bool mayOrder(const EngineOrder& order) const { return options_.mayOrder() && !isEvacuated(order.domain); }
    void sendNext();
    void call(const EngineOrder& order);
    void finish(const EngineOrder& order, OrderResult result, Millis sentAt);

    boost::asio::io_context& context_;
    Options options_;
    std::deque<EngineOrder> queue_;
    size_t ordersInFlight_ = 0;
    const PlatformAdapter& adapter_;
    DecisionLog& log_;
    ProxyMetrics& metrics_;
    ConnectionPool pool_;
};

} // namespace hemlockweir
