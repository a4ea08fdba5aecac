#pragma once

#include "node/CallerRequest.h"
#include "node/NodeContext.h"
#include "node/ReportStore.h"
#include "node/RequestLimiter.h"

// The HTTP interface to callers and operators: routes each request to its flow.
//
// /healthz, /readyz and /metrics are open: the platform's balancer and scraper carry no keys, and
// what they read names no secret. /operator/* asks for the operator key.

namespace hemlockweir {

class CallerApi {
public:
    struct Options {
        QByteArray operatorKey; // secret that /operator/* asks for
        int maxRequestsPerCaller = 1000; // requests of one caller at this node, waiting and running
    };

    // Answers for operators, which only the node can give.
    struct Hooks {
        std::function<bool()> isReady; // for /readyz
        std::function<QJsonObject()> status; // for /operator/status; called on a worker thread
        const ReportStore* report = nullptr; // for /operator/report and /operator/explain
    };

    CallerApi(Options options, NodeContext& context, Hooks hooks);

    // Handles one request on the worker that owns it.
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
