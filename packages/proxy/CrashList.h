#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

// Finds requests that crash each endpoint that runs them, so that they are refused instead of being sent to
// one endpoint after the other. Such a request comes again from its caller, to any node, with the same path and
// body. No input or output.
//
// A broken connection alone says little: the endpoint may have spoilt one answer. It counts once the endpoint
// turns out to be down. What else ran there is suspected too; it is cleared as soon as an endpoint answers it.

namespace hemlockweir {

class CrashList {
public:
    struct Options {
        Clock clock;
        size_t crashThreshold = 3; // endpoints that go down on a request before it is refused; two may be chance
        Millis confirmationWindow { 6000 }; // ms, for which a broken request waits for news of its endpoint: a list of endpoints lags some seconds
        Millis retention { 60000 }; // ms, for which a request is remembered after its last crash
        size_t maxRequests = 2000; // remembered at once; beyond it the oldest go
        std::function<void(const std::string& endpoint)> onConnectionLost; // a request broke there: does it live? may be empty
        std::function<void(uint64_t request, uint32_t endpoint)> onCrash; // of this node's finding, to be told to the others; may be empty
    };

    explicit CrashList(Options options);

    // What two sends of the same request by the same caller have in common.
    static uint64_t fingerprint(std::string_view caller, std::string_view method, std::string_view target, std::string_view body);

    // Notes that the connection broke on which an endpoint ran the request.
    void noteConnectionLost(uint64_t request, const std::string& endpoint);

    // Notes that an endpoint is down: what broke there of late may have crashed it.
    void noteEndpointDown(const std::string& endpoint);

    // Takes another node's finding; the endpoint by hashTarget().
    void notePeerCrash(uint64_t request, uint32_t endpoint);

    // Clears a request: an endpoint answered it.
    void noteAnswered(uint64_t request);

    // Whether the request crashed too many endpoints to be sent to another one.
    bool isBlocked(uint64_t request) const;

    // Forgets what is old. Call at regular times.
    void sweep();

    bool isEmpty() const { return requests_.empty(); }

private:
    struct Crash {
        uint32_t endpoint = 0; // hashTarget() of its id
        Millis at { 0 };
    };

    struct Request {
        std::vector<Crash> crashes;
        std::vector<Crash> unconfirmed; // broken; nothing is known of the endpoint yet
        Millis updatedAt { 0 };
    };

    void addCrash(Request& request, uint32_t endpoint, Millis at);
    Request& findOrCreate(uint64_t request);

    Options options_;
    std::map<uint64_t, Request> requests_; // by fingerprint
};

} // namespace hemlockweir
