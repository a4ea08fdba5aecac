#pragma once

#include "http/ServerConnection.h"
#include "proxy/EventSplitter.h"
#include "proxy/ForwardedHeaders.h"
#include "proxy/ProxyContext.h"
#include "proxy/RequestTimes.h"

// Handles one request of a caller: finds its route, waits for a slot, sends the request to an endpoint and, after a
// failure, possibly to another one. A flow ends with exactly one response or when the caller closes the connection.

namespace hemlockweir {

class ProxyFlow : public std::enable_shared_from_this<ProxyFlow> {
public:
    struct Options {
        uint64_t id = 0; // unique in this process
        std::shared_ptr<const RouteTable> routes; // null until a configuration is known
        std::shared_ptr<ServerConnection> caller;
        ServerRequest request;
        std::function<void(uint64_t id)> onDone; // called once
    };

    ProxyFlow(ProxyContext& context, Options options);

    // Starts the flow. Every later step is driven by events and checkTimeouts().
    void start();

    // Ends the flow at its deadline, or retries when the endpoint doesn't respond. Call periodically.
    void checkTimeouts();

    // Ends the flow because the process exits now. A request that did not run is refused as such; an unfinished response
    // is aborted.
    void handleExit();

    uint64_t id() const { return options_.id; }

private:
    // Sends of one request allowed beyond Route::maxAttempts, for endpoints that certainly did not run it.
    static constexpr int maxUnexecutedSends = 2;
    // Retry-After of a refused request when the reason gives no estimate.
    static constexpr Millis defaultRetryAfter { 500 };
    // Retry-After of a request that a stopping node refuses: other nodes can serve it at once.
    static constexpr Millis stoppingRetryAfter { 100 };

    // Why a stopping node let a request run.
    struct ExitOutlook {
        Millis timeLeft { 0 }; // ms until this process exits
        std::optional<Millis> expectedTime; // ms, by ServiceTimes

        auto operator<=>(const ExitOutlook&) const = default;
    };

    // One send of the request to an endpoint.
    struct Attempt {
        Target target;
        std::shared_ptr<ClientConnection> connection;
        Millis sentAt { 0 };
        std::optional<ExitOutlook> exitOutlook; // if this node was stopping when it sent the request
        Millis firstEventAt { 0 }; // when the first complete event of a stream arrived
        size_t untakenBytes = 0; // of a large request, when last asked; 0: all were taken, or the request is small
        bool isSilenceNoted = false;
        bool isResumed = false; // the endpoint continues a stream that another one began
        Millis progressAt { 0 }; // when bytes of a large request were last taken, or the head, the last part of the body or, of a stream, the last complete event arrived
        std::optional<ResponseHead> head;
        std::string body; // buffered until the response is complete; empty for streams
        bool hasBody = false; // part of the body or, of a stream, a complete event arrived
    };

    // Whether an endpoint may have run the request.
    enum class ExecutionState : uint8_t {
        NotRun,
        MayHaveRun,
    };

    bool readRequestId();
    bool findRoute();
    void readLimits();
    std::optional<Millis> longestServiceTime() const;
    bool endsBeforeExit() const;
    // Returns whether the request can be refused as not run.
    bool mayRefuse() const { return executionState_ == ExecutionState::NotRun && !isHeadSent_; }
    void refuseForExit();
    std::optional<ExitOutlook> exitOutlook() const;
    void logCut() const;
    void leaveQueue();
    void requestPlacement(Millis objectiveAt, int priority);
    void handlePlacement(const Target& target);
    void handleRefusal(const PlacementRefusal& refusal);
    std::string formatRequest(const Target& target) const;
    bool maySend() const;

    void handleHead(const ResponseHead& head);
    void handleBody(std::string_view bytes);
    void handleEnd(ExchangeEnd how);
    bool isTruncated() const;
    void handleCompleteResponse();
    void noteServiceTime(const Attempt& attempt);
    void noteAnnouncements(const ResponseHead& head);
    void noteRequestLimit(const ResponseHead& head);
    void noteColdTime(const ResponseHead& head);
    void handleRejection(const ResponseHead& head);
    std::vector<HeaderLine> responseHeaders(const ResponseHead& head) const;
    void handleEvents(std::string_view bytes);
    void sendEvent(std::string_view event);
    bool cutSlowCaller();
    void startStream(const ResponseHead& head);
    bool isStreaming() const;

    void endAttempt(std::string_view result);
    bool hasMemoryFor(const Target& target);
    bool isMemoryFull() const { return context_.endpointMemory && !context_.endpointMemory->hasRoom(0); }
    void noteHeldBytes();
    void retryOrFail(std::string_view reason, bool isTargetFault);
    bool canRetry(ExecutionState state, int executions) const;
    uint64_t fingerprint() const;
    std::vector<uint64_t> sharedPromptParts() const;
    bool isCrashBlocked() const;
    void endCrashing();
    void noteFailedSend(std::string_view reason, bool isTargetFault);
    void retry();
    void giveUp(std::string_view reason);
    void fail(std::string_view reason);
    void sendError(int status, std::string_view reason, std::optional<Millis> retryAfter = std::nullopt);
    void noteTakenBytes(Millis now);
    void checkInactivity(Millis now);
    void cancel();
    void abortAnswer(const std::string& end, std::string_view reason);
    void finish(const std::string& end, std::string_view reason);

    std::string_view requestHeader(const std::string& name) const { return options_.request.header(name); }

    ProxyContext& context_;
    Options options_;
    std::string requestId_;
    std::string organisation_;
    std::string service_;
    std::string model_;
    Route route_;
    int priority_ = 5;
    Millis deadlineAt_ { 0 };
    TokenCounts tokenCounts_;
    RequestTimes times_;
    std::optional<Attempt> attempt_;
    std::string lastTarget_; // id of the endpoint that the request was sent to last
    std::set<std::string> excludedEndpoints_;
    EventSplitter eventSplitter_;
    MemoryBudget::Holder held_; // part of the answer that is not passed on yet
    size_t notedBytes_ = 0; // bytes last told to held_
    mutable std::optional<uint64_t> fingerprint_; // computed on first use
    ExecutionState executionState_ = ExecutionState::NotRun;
    int executions_ = 0; // endpoints that may have run the request
    int sends_ = 0; // all sends, including those that were not run
    bool isQueued_ = false; // in the dispatcher
    bool isHeadSent_ = false;
    bool isDone_ = false;
};

} // namespace hemlockweir
