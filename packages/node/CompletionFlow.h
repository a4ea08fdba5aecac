#pragma once

#include "http/EventStream.h"
#include "node/Flow.h"

#include <QJsonObject>

// One model request from its arrival to its last token: scheduled onto a whole group, streamed,
// and taken up again on another group at the same token if the first one fails.

namespace hemlockweir {

// What /v1/completions and /v1/chat/completions ask for.
struct CompletionRequest {
    QJsonObject body; // as sent, passed on to the engine
    std::string model;
    bool isChat = false;
    bool isStreamed = false;
    uint32_t maxTokens = 128;
};

class CompletionFlow : public Flow {
    Q_OBJECT
public:
    // Starts handling; the flow deletes itself when done.
    static void start(Tables& tables, std::shared_ptr<Exchange> exchange, CallerRequest request, CompletionRequest completion);

private:
    CompletionFlow(Tables& tables, std::shared_ptr<Exchange> exchange, CallerRequest request, CompletionRequest completion);

    ~CompletionFlow() override;
    void cancelWork() override;

    // Scheduling.
    void schedule();
    std::optional<std::vector<std::string>> isolate();
    void waitForGroup();
    void watchReservation(uint64_t jobId);
    Millis deadline() const;
    void takeDecision(uint64_t jobId, const Decision& decision);
    void freeSlot();
    void yieldSlot(uint64_t jobId);

    // One attempt on one group.
    void attempt(const Replica& replica);
    void takeBytes(const QByteArray& bytes);
    void takeEvent(const QByteArray& data);
    void takeToken(const QJsonObject& event);
    void takeFinish(const QJsonObject& event);
    void breakAttempt(const char* why);
    void takeCallEnd(const CallResult& result);
    void checkDeath(const CallResult& result, int looksLeft);
    void retryOrFail(const CallResult& result);
    void passRefusal(const CallResult& result);
    std::vector<std::string> groupsToAvoid() const;

    // Towards the caller.
    void sendToken(const QString& text);
    void sendFinish();
    QJsonObject makeChunk(const QString& text, const QJsonValue& finishReason) const;
    QJsonObject makeWhole() const;

    CompletionRequest completion_;
    uint64_t seed_; // the same in every attempt, so that a resumed answer goes on as it began
    std::vector<uint64_t> prefix_; // hashes of the prompt's leading blocks
    std::string runId_; // names this request towards engines; callers' ids may collide
    uint64_t fingerprint_; // of the caller and the body, for the quarantine
    std::string reservedGroup_; // where a suspect is to run
    Millis resumedAt_ { 0 }; // when an answer that had begun was cut
    uint64_t jobId_ = 0; // 0: no job queued or running
    bool holdsSlot_ = false;
    uint32_t preemptions_ = 0; // times that the slot was given back to more urgent work
    std::optional<Replica> replica_;
    std::shared_ptr<HttpCall> call_;
    std::unique_ptr<EventStream> events_;
    uint32_t attempt_ = 0;
    uint32_t failures_ = 0; // attempts that failed after an engine may have taken them
    bool attemptOver_ = false; // nothing more is taken from the current attempt
    bool hasToken_ = false; // the current attempt has given a token
    bool cannotResume_ = false; // an engine began anew instead of resuming
    uint32_t received_ = 0; // tokens received in order, over all attempts
    QString text_;
    QString finishReason_;
    std::vector<std::string> failedGroups_;
    bool mayHaveRun_ = false;
};

// Reads the body of a model request; InvalidArgument says what to write instead.
absl::StatusOr<CompletionRequest> parseCompletionRequest(const QByteArray& body, bool isChat);

} // namespace hemlockweir
