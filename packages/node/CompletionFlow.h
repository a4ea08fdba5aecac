#pragma once

#include "node/AnswerStream.h"
#include "node/CompletionReply.h"
#include "node/CompletionRequest.h"
#include "node/DeathCheck.h"
#include "node/Flow.h"

// Handles one model request from its arrival to its last token. The flow waits for a slot on a
// whole group and streams the answer. If the group fails, the flow resumes the answer at the same
// token on another group.

namespace hemlockweir {

class CompletionFlow : public Flow {
    Q_OBJECT
public:
    // Starts to handle the request. The flow deletes itself at the end.
    static void start(NodeContext& context, std::shared_ptr<Exchange> exchange, CallerRequest request, CompletionRequest completion);

private:
    CompletionFlow(NodeContext& context, std::shared_ptr<Exchange> exchange, CallerRequest request, CompletionRequest completion);

    ~CompletionFlow() override;
    void cancelWork() override;

    // Scheduling: these wait for a slot on a group and give it back.
    void schedule();
    std::optional<std::vector<std::string>> isolateIfSuspect();
    void waitForGroup();
    void watchReservation(uint64_t jobId);
    Millis deadline() const;
    void handleDecision(uint64_t jobId, const Decision& decision);
    void releaseSlot();
    void handlePreemption(uint64_t jobId);

    // Attempts: each runs the request, or the rest of it, on one group.
    void attempt(const Replica& replica);
    void handleToken(const QString& text, bool isFirst);
    void abortAttempt(const char* reason);
    void handleCallEnd(const CallResult& result);
    void checkGroupDeath(const CallResult& result);
    void retryOrFail(const CallResult& result);
    void forwardRefusal(const CallResult& result);
    std::vector<std::string> groupsToAvoid() const;
    void finishAnswer();

    CompletionRequest completion_;
    uint64_t seed_; // the same in every attempt, so that a resumed answer matches its beginning
    std::vector<uint64_t> prefix_; // hashes of the prompt's leading blocks, for prefix affinity
    std::string runId_; // identifies this request to engines; callers' request ids may collide
    uint64_t fingerprint_; // of the caller and the body, for the quarantine
    CompletionReply reply_;
    std::string reservedGroup_; // the group that a suspect request runs on
    Millis interruptedAt_ { 0 }; // when the answer was last interrupted
    uint64_t jobId_ = 0; // 0: no job queued or running
    bool holdsSlot_ = false;
    uint32_t preemptions_ = 0; // times that more urgent work took the slot
    std::optional<Replica> replica_;
    std::shared_ptr<HttpCall> call_;
    std::unique_ptr<AnswerStream> answer_; // of the current attempt
    std::unique_ptr<DeathCheck> deathCheck_; // after an attempt whose connection broke
    uint32_t attempt_ = 0;
    uint32_t failures_ = 0; // attempts that failed after an engine may have accepted them
    uint32_t receivedTokens_ = 0; // tokens received in order, over all attempts
    std::vector<std::string> failedGroups_;
    bool mayHaveRun_ = false;
};

} // namespace hemlockweir
