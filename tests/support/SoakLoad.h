#pragma once

#include "http/ClientConnection.h"
#include "support/GatewayCluster.h"

#include <boost/asio/io_context.hpp>
#include <map>

// Simulated callers of the soak test. Each caller sends one request at a time, reuses its connection to a gateway as
// long as possible, and records the answers.

namespace hemlockweir {

// A request and its answer. Times are in ms since the Unix epoch.
struct SoakRequest {
    std::string id;
    std::string gateway;
    std::string path;
    std::string body;
    std::string key = "key-1"; // the caller's key
    int events = 0; // number of events of a stream; 0: not a stream
    std::string sharedParts = "aa:40"; // of the prompt of a stream
    qint64 sentAt = 0;
    qint64 endedAt = 0;
    int status = 0; // 0: no head was received
    bool isComplete = false; // the answer was received completely
    bool hasTimedOut = false; // the caller closed the connection, after the deadline and the slack
    std::string received; // body so far

    // Returns the body of the complete answer.
    std::string expectedBody() const;
    bool isOrder() const { return path.starts_with("/order/"); }
};

// Deadline of each request, and how much later its answer may arrive, in ms.
inline constexpr int soakDeadlineMs = 3000;
inline constexpr int soakAnswerSlackMs = 1500;

class SoakLoad {
public:
    SoakLoad(GatewayCluster& cluster, Random random, size_t callers);

    // Processes network events and sends the requests that are due. Call often.
    void update();

    // Calls update() until the condition holds. Returns false if it does not hold in time.
    bool runUntil(const std::function<bool()>& condition, Millis limit = hangLimit);
    void runFor(Millis time);

    // Stops the callers from sending further requests.
    void pause() { isPaused_ = true; }
    bool isIdle() const;

    // Sends a request on a separate connection and waits until it has ended.
    SoakRequest sendAndWait(SoakRequest request);

    // Create requests with a random key; the first one also with a random path and gateway.
    SoakRequest makeRequest();
    SoakRequest makeRequest(const std::string& path, const std::string& gateway);

    // Returns the ended requests, in the order in which they ended.
    const std::vector<SoakRequest>& ended() const { return ended_; }

private:
    // A caller and its reused connection.
    struct Caller {
        std::shared_ptr<ClientConnection> connection;
        std::string gateway; // to which the connection leads
        SoakRequest request;
        bool isBusy = false;
        qint64 nextAt = 0;
    };

    void send(Caller& caller, SoakRequest request);
    void finish(Caller& caller);
    void updateCaller(Caller& caller, qint64 now);

    GatewayCluster& cluster_;
    Random random_;
    boost::asio::io_context context_;
    Clock clock_ = makeSteadyClock();
    std::vector<std::unique_ptr<Caller>> callers_;
    std::vector<SoakRequest> ended_;
    uint64_t nextId_ = 1;
    bool isPaused_ = false;
};

// Returns the current time in ms since the Unix epoch, as in the effects of stand-ins.
qint64 soakNow();

} // namespace hemlockweir
