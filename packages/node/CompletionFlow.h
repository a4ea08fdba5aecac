#pragma once

#include "node/AnswerStream.h"
#include "node/CompletionReply.h"
#include "node/CompletionRequest.h"
#include "node/DeathCheck.h"
#include "node/Flow.h"

// One model request from its arrival to its last token: scheduled onto a whole group, streamed,
// and taken up again on another group at the same token if the first one fails.

namespace hemlockweir {

class CompletionFlow : public Flow {
    Q_OBJECT
public:
    // Starts handling; the flow deletes itself when done.
    static void start(NodeContext& context, std::shared_ptr<Exchange> exchange, CallerRequest request, CompletionRequest completion);

private:
    CompletionFlow(NodeContext& context, std::shared_ptr<Exchange> exchange, CallerRequest request, CompletionRequest completion);

    ~CompletionFlow() override;
    void cancelWork() override;

    // Scheduling.
    void schedule();
    std::optional<std::vector<std::string>> isolateIfSuspect();
    void waitForGroup();
    void watchReservation(uint64_t jobId);
    Millis deadline() const;
    void handleDecision(uint64_t jobId, const Decision& decision);
    void releaseSlot();
    void handlePreemption(uint64_t jobId);

    // One attempt on one group.
    void attempt(const Replica& replica);
    void handleToken(const QString& text, bool isFirst);
    void abortAttempt(const char* reason);
    void handleCallEnd(const CallResult& result);
    void checkGroupDeath(const CallResult& result);
    void retryOrFail(const CallResult& result);
    void forwardRefusal(const CallResult& result);
    std::vector<std::string> groupsToAvoid() const;
    void sendFinish();

    CompletionRequest completion_;
    uint64_t seed_; // the same in every attempt, so that a resumed answer goes on as it began
    std::vector<uint64_t> prefix_; // hashes of the prompt's leading blocks
    std::string runId_; // names this request towards engines; callers' ids may collide
    uint64_t fingerprint_; // of the caller and the body, for the quarantine
    CompletionReply reply_;
    std::string reservedGroup_; // where a suspect is to run
    Millis interruptedAt_ { 0 }; // when an answer that had begun was cut
    uint64_t jobId_ = 0; // 0: no job queued or running
    bool holdsSlot_ = false;
    uint32_t preemptions_ = 0; // times that the slot was given back to more urgent work
    std::optional<Replica> replica_;
    std::shared_ptr<HttpCall> call_;
    std::unique_ptr<AnswerStream> answer_; // of the current attempt
    std::unique_ptr<DeathCheck> deathCheck_; // after a broken attempt
    uint32_t attempt_ = 0;
    uint32_t failures_ = 0; // attempts that failed after an engine may have taken them
    uint32_t receivedTokens_ = 0; // tokens received in order, over all attempts
    std::vector<std::string> failedGroups_;
    bool mayHaveRun_ = false;
};

} // namespace hemlockweir
