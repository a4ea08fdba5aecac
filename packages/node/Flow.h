#pragma once

#include "http/HttpClient.h"
#include "node/CallerRequest.h"
#include "node/NodeContext.h"

// What the handling of every caller's request shares: the exchange, the claim, and the record of
// its end. A flow belongs to one worker thread and deletes itself there.

namespace hemlockweir {

class Flow : public QObject {
    Q_OBJECT
public:
    Flow(NodeContext& context, std::shared_ptr<Exchange> exchange, CallerRequest request);
    ~Flow() override;

protected:
    // Runs a step on the flow's thread, or drops it when the flow is gone. May be called from any
    // thread and outlives the flow: hand it to hooks that are called elsewhere.
    using Poster = std::function<void(std::function<void()>)>;
    Poster poster() const;

    // Claims the idempotency key, if there is one, and goes on with `onGranted` if the request may
    // run; answers the caller otherwise.
    void claim(std::function<void()> onGranted);

    // Stores the answer under the claim, if there is one, then goes on.
    void storeAnswer(const StoredAnswer& answer, std::function<void()> done);

    // Answers with an error and ends.
    void fail(ErrorReply error);

    // Records the end. Later calls do nothing.
    void end(RequestEnd how);

    Exchange& exchange() { return *exchange_; }
    const CallerRequest& request() const { return request_; }
    bool isClaimed() const { return claimed_; }
    bool hasEnded() const { return ended_; }
    HttpClient& client();
    ClaimRequest makeClaimRequest() const;

    // Ends what is running, because the caller has gone.
    virtual void cancelWork() = 0;

    NodeContext& context_;
    RequestRecord record_;
    Millis arrivedAt_;

private:
    void handleClaimResult(const ClaimResult& result, const std::function<void()>& onGranted);
    void settleClaim(const ErrorReply& error);

    // The flow's address, cleared when it is destroyed.
    struct Handle {
        std::mutex mutex; // a leaf
        Flow* flow = nullptr;
    };

    std::shared_ptr<Handle> handle_;
    std::shared_ptr<Exchange> exchange_;
    CallerRequest request_;
    bool claimed_ = false; // a claim is asked for or held
    bool ended_ = false;
};

} // namespace hemlockweir
