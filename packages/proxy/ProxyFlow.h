#pragma once

#include "http/ServerConnection.h"
#include "proxy/EventCutter.h"
#include "proxy/ProxyContext.h"
#include "proxy/RequestTimes.h"

// One request on its way: finds its route, waits for a place, is sent to an endpoint, perhaps to
// another, and ends with exactly one answer or with its caller's close.

namespace hemlockweir {

class ProxyFlow : public std::enable_shared_from_this<ProxyFlow> {
public:
    struct Options {
        uint64_t id = 0; // unique in this process
        std::shared_ptr<const RouteTable> routes; // null: no configuration is known yet
        std::shared_ptr<ServerConnection> caller;
        ServerRequest request;
        std::function<void(uint64_t id)> onDone; // called once
    };

    ProxyFlow(ProxyContext& context, Options options);

    // Begins; every later step follows from events and checkTimeouts().
    void start();

    // Call at regular times: ends or moves what takes too long.
    void checkTimeouts();

    uint64_t id() const { return options_.id; }

private:
    // Sends of one request to endpoints that surely did not run it, beyond those that may run it.
    static constexpr int extraSends = 2;
    // When a caller may return that was refused for a reason which says nothing of the time.
    static constexpr Millis defaultRetryAfter { 500 };

    // One send to an endpoint.
    struct Attempt {
        Target target;
        std::shared_ptr<ClientConnection> connection;
        Millis sentAt { 0 };
        Millis heardAt { 0 }; // last byte of its answer
        std::optional<ResponseHead> head;
        std::string body; // held until the answer is whole; empty for streams
    };

    // What is known of whether the request ran.
    enum class RunState : uint8_t {
        NotRun,
        MayHaveRun,
    };

    bool findRoute();
    void readLimits();
    void requestPlace(Millis objectiveAt, int priority);
    void takePlace(const Target& target);
    void takeRefusal(const PlaceRefusal& refusal);
    std::string formatRequest(const Target& target) const;

    void takeHead(const ResponseHead& head);
    void takeBody(std::string_view bytes);
    void takeEnd(ExchangeEnd how);
    void takeWholeAnswer();
    void takeRejection(const ResponseHead& head);
    void sendEvent(std::string_view event);
    void startStream(const ResponseHead& head);
    bool isStreaming() const;

    void dropAttempt(std::string_view result);
    void retryOrFail(std::string_view reason, bool blamesTarget);
    bool mayRetry(RunState state, int runs) const;
    uint64_t fingerprint() const;
    bool crashesEndpoints() const;
    void noteFailedSend(std::string_view reason, bool blamesTarget);
    void retry();
    void fail(std::string_view reason);
    void answerError(int status, std::string_view reason, std::optional<Millis> retryAfter = std::nullopt);
    void checkSilence(Millis now);
    void cancel();
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
    Millis giveUpAt_ { 0 };
    RequestTimes times_;
    std::optional<Attempt> attempt_;
    std::string lastTarget_; // endpoint that it was sent to last
    std::set<std::string> avoid_;
    EventCutter cutter_;
    RunState runState_ = RunState::NotRun;
    int runs_ = 0; // endpoints that may have run the request
    int sends_ = 0;
    bool isWaiting_ = false; // in the dispatcher
    bool isHeadSent_ = false;
    bool isDone_ = false;
};

} // namespace hemlockweir
