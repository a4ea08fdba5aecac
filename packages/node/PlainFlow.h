#pragma once

#include "node/Flow.h"

// Handles one request to a plain service, which is one that serves no model. The flow forwards the
// complete request to a live instance and sends the complete answer back. A request that may have
// run is sent again only if it has no idempotency key and its method or service is idempotent.

namespace hemlockweir {

class PlainFlow : public Flow {
    Q_OBJECT
public:
    // Starts to handle the request. The flow deletes itself at the end.
    static void start(NodeContext& context, std::shared_ptr<Exchange> exchange, CallerRequest request, PlainService service);

private:
    PlainFlow(NodeContext& context, std::shared_ptr<Exchange> exchange, CallerRequest request, PlainService service);

    void cancelWork() override;
    bool isRetryable() const;
    void attempt();
    void handleCallEnd(const CallResult& result);

    PlainService service_;
    std::shared_ptr<HttpCall> call_;
    std::vector<std::string> triedInstances_;
    std::string instanceId_;
    bool mayHaveRun_ = false;
};

} // namespace hemlockweir
