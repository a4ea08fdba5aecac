#pragma once

#include "node/Flow.h"

// One request to a plain service beside the models: passed on once to a live instance, whole.

namespace hemlockweir {

class PlainFlow : public Flow {
    Q_OBJECT
public:
    // Starts handling; the flow deletes itself when done.
    static void start(Tables& tables, std::shared_ptr<Exchange> exchange, CallerRequest request, PlainService service);

private:
    PlainFlow(Tables& tables, std::shared_ptr<Exchange> exchange, CallerRequest request, PlainService service);

    void cancelWork() override;
    bool mayRepeat() const;
    void attempt();
    void takeCallEnd(const CallResult& result);

    PlainService service_;
    std::shared_ptr<HttpCall> call_;
    std::vector<std::string> tried_;
    std::string instance_;
    bool mayHaveRun_ = false;
};

} // namespace hemlockweir
