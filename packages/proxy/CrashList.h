#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

// Detects requests that crash every endpoint that runs them, and blocks them before they take down one endpoint
// after another. The caller repeats such a request with the same path and body, on any node; a fingerprint of the
// request identifies the repetitions. Performs no I/O.
//
// A lost connection alone is no evidence of a crash: the endpoint may have failed this one response only. It counts
// as a crash once the endpoint is found to be down. Other requests that ran on the endpoint at that time become
// suspects as well; a suspect is cleared as soon as an endpoint answers it.

namespace hemlockweir {

class CrashList {
public:
    struct Options {
        Clock clock;
        size_t crashThreshold = 3; // crashes after which a request is blocked; two may be coincidence
        Millis confirmationWindow { 6000 }; // ms, for which a lost connection can still be confirmed as a crash; the endpoint list lags by some seconds
        Millis retention { 60000 }; // ms, for which a request is tracked after its last crash
        size_t maxRequests = 2000; // tracked requests; beyond this the oldest are evicted
        std::function<void(const std::string& endpoint)> onConnectionLost; // asks to check whether the endpoint is alive; may be empty
        std::function<void(uint64_t request, uint32_t endpoint)> onCrash; // a crash found by this node, to be published; may be empty
    };

    explicit CrashList(Options options);

    // Returns the fingerprint of a request. Repetitions of a request by the same caller have the same fingerprint.
    static uint64_t fingerprint(std::string_view caller, std::string_view method, std::string_view target, std::string_view body);

    // Records that the connection on which an endpoint ran the request was lost.
    void noteConnectionLost(uint64_t request, const std::string& endpoint);

    // Records that an endpoint is down. Requests that lost their connection to it within confirmationWindow may have
    // crashed it.
    void noteEndpointDown(const std::string& endpoint);

    // Applies a crash found by another node; `endpoint` is hashTarget() of its id.
    void notePeerCrash(uint64_t request, uint32_t endpoint);

    // Clears a request that an endpoint answered.
    void noteAnswered(uint64_t request);

    // Returns whether the request crashed so many endpoints that it must not be sent to another one.
    bool isBlocked(uint64_t request) const;

    // Removes expired entries. Call periodically.
    void sweep();

    bool isEmpty() const { return requests_.empty(); }

private:
    struct Crash {
        uint32_t endpoint = 0; // hashTarget() of its id
        Millis at { 0 };
    };

    struct Request {
        std::vector<Crash> crashes;
        std::vector<Crash> unconfirmed; // lost connections; the endpoint's state is not known yet
        Millis updatedAt { 0 };
    };

    void addCrash(Request& request, uint32_t endpoint, Millis at);
    Request& findOrCreate(uint64_t request);

    Options options_;
    std::map<uint64_t, Request> requests_; // by fingerprint
};

} // namespace hemlockweir
