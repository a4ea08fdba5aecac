#pragma once

#include "node/Flow.h"

// One request to a plain service beside the models: passed on once to a live instance, whole.

namespace hemlockweir {

class PlainFlow : public Flow {
    Q_OBJECT
public:
    // Starts handling; the flow deletes itself when done.
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
