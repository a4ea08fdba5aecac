#pragma once

#include "node/CallerRequest.h"
#include "node/NodeContext.h"
#include "node/ReportStore.h"
#include "node/RequestLimiter.h"

// Implements the HTTP interface for callers and operators and routes each request to its flow.
//
// /healthz, /readyz, /metrics and /v1/models need no key: the platform's load balancer and metrics
// scraper send none, and the answers contain no secrets. /operator/* requires the operator key.

namespace hemlockweir {

class CallerApi {
public:
    struct Options {
        QByteArray operatorKey; // secret that /operator/* requires
        int maxRequestsPerCaller = 1000; // waiting and running requests of one caller at this node
    };

    // State of the node for the answers to operators and load balancers.
    struct Hooks {
        std::function<bool()> isReady; // for /readyz
        std::function<QJsonObject()> status; // for /operator/status; called on a worker thread
        const ReportStore* report = nullptr; // for /operator/report and /operator/explain
    };

    CallerApi(Options options, NodeContext& context, Hooks hooks);

    // Handles one request. Call it on the worker thread that owns the exchange.
    void handle(std::shared_ptr<Exchange> exchange);

private:
    bool handlePublic(Exchange& exchange);
    void handleOperator(Exchange& exchange);
    void explain(Exchange& exchange);
    void refuse(Exchange& exchange, const CallerRequest& request, const ErrorReply& error);
    bool admitCaller(Exchange& exchange, const CallerRequest& request);
    void handleCompletion(std::shared_ptr<Exchange> exchange, bool isChat);
    void handleKeys(Exchange& exchange);
    void handlePlain(std::shared_ptr<Exchange> exchange);
    QJsonObject listModels() const;

    Options options_;
    NodeContext& context_;
    Hooks hooks_;
    RequestLimiter limiter_;
};

} // namespace hemlockweir
