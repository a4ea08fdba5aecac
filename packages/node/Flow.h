#pragma once

#include "http/HttpClient.h"
#include "node/CallerRequest.h"
#include "node/NodeContext.h"

// Base class of the request handlers. It manages the HTTP exchange, the claim on the idempotency key
// and the metrics record of a request. A flow runs on one worker thread and deletes itself there.

namespace hemlockweir {

class Flow : public QObject {
    Q_OBJECT
public:
    Flow(NodeContext& context, std::shared_ptr<Exchange> exchange, CallerRequest request);
    ~Flow() override;

protected:
    // Runs a function on the flow's thread, or drops it if the flow no longer exists. It may be
    // called from any thread and may outlive the flow, so hooks that run on other threads use it.
    using Poster = std::function<void(std::function<void()>)>;
    Poster poster() const;

    // Claims the idempotency key, if the request has one. Calls `onGranted` if the request may run,
    // and answers the caller otherwise.
    void claim(std::function<void()> onGranted);

    // Stores the answer under the claim, if there is one, then calls `done`.
    void storeAnswer(const StoredAnswer& answer, std::function<void()> done);

    // Answers with an error, releases or completes the claim, and ends the flow.
    void fail(ErrorReply error);

    // Records how the request ended and schedules the flow's deletion. Later calls do nothing.
    void end(RequestEnd requestEnd);

    Exchange& exchange() { return *exchange_; }
    const CallerRequest& request() const { return request_; }
    bool isClaimed() const { return claimed_; }
    bool hasEnded() const { return ended_; }
    HttpClient& client();
    ClaimRequest makeClaimRequest() const;

    // Cancels the running work after the caller has disconnected.
    virtual void cancelWork() = 0;

    NodeContext& context_;
    RequestRecord record_;
    Millis arrivedAt_;

private:
    void handleClaimResult(const ClaimResult& result, const std::function<void()>& onGranted);
    void settleClaim(const ErrorReply& error);

    // Points to the flow until the flow is destroyed.
    struct Handle {
        std::mutex mutex; // no other lock is acquired while it is held
        Flow* flow = nullptr;
    };

    std::shared_ptr<Handle> handle_;
    std::shared_ptr<Exchange> exchange_;
    CallerRequest request_;
    bool claimed_ = false; // a claim is requested or held
    bool ended_ = false;
};

} // namespace hemlockweir
