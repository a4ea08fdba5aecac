#pragma once

#include "http/ClientConnection.h"
#include "support/GatewayCluster.h"

#include <boost/asio/io_context.hpp>
#include <map>

// Callers of the soak: each keeps its connection to a gateway for as long as it works, sends one request after the
// other and records what came back.

namespace hemlockweir {

// One request and what came of it. Times in ms since the epoch.
struct SoakRequest {
    std::string id;
    std::string gateway;
    std::string path;
    std::string body;
    std::string key = "key-1"; // of the caller
    int events = 0; // of a stream; 0: a plain answer
    qint64 sentAt = 0;
    qint64 endedAt = 0;
    int status = 0; // 0: no head came
    bool isComplete = false; // the answer ended as a whole one
    bool hasTimedOut = false; // the caller waited beyond its deadline and closed
    std::string received; // body so far

    // What the whole answer is.
    std::string expectedBody() const;
    bool isOrder() const { return path.starts_with("/order/"); }
};

// The deadline of each request, and how much later its answer may come, ms.
inline constexpr int soakDeadlineMs = 3000;
inline constexpr int soakAnswerSlackMs = 1500;

class SoakLoad {
public:
    SoakLoad(GatewayCluster& cluster, Random random, size_t callers);

    // Lets the connections work, and sends what is due. Call often.
    void update();

    // Lets turns pass until the condition holds; false when it does not in time.
    bool runUntil(const std::function<bool()>& condition, Millis limit = hangLimit);
    void runFor(Millis time);

    // Sends no more of its own.
    void pause() { isPaused_ = true; }
    bool isIdle() const;

    // Sends one request on a connection of its own and waits for its end.
    SoakRequest sendAndWait(SoakRequest request);

    // A request of each kind, of a random caller.
    SoakRequest makeRequest();
    SoakRequest makeRequest(const std::string& path, const std::string& gateway);

    // What has ended, in that order.
    const std::vector<SoakRequest>& ended() const { return ended_; }

private:
    // One caller with its kept connection.
    struct Caller {
        std::shared_ptr<ClientConnection> connection;
        std::string gateway; // of the connection
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

// Now, in ms since the epoch, as the stand-ins' effects have it.
qint64 soakNow();

} // namespace hemlockweir
