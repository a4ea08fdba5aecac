#pragma once

#include "node/Tables.h"

// The HTTP interface to callers and operators: routes each request to its flow.

namespace hemlockweir {

class CallerApi {
public:
    // Answers for operators, which only the node can give.
    struct Hooks {
        std::function<bool()> isReady; // for /readyz
        std::function<QJsonObject()> status; // for /operator/status; called on a worker thread
    };

    CallerApi(Tables& tables, Hooks hooks);

    // Handles one request on the worker that owns it.
    void handle(std::shared_ptr<Exchange> exchange);

private:
    bool handleOperator(Exchange& exchange);
    void handleCompletion(std::shared_ptr<Exchange> exchange, bool isChat);
    void handlePlain(std::shared_ptr<Exchange> exchange);
    QJsonObject listModels() const;

    Tables& tables_;
    Hooks hooks_;
};

} // namespace hemlockweir
