#pragma once

#include "base/Clock.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

// Estimates how long requests run at their endpoints, from those that were answered completely. A node that has begun to
// shut down takes no request that is not expected to end before its process does. Performs no I/O.

namespace hemlockweir {

// How long one request ran that was answered completely.
struct ServiceTime {
    Millis total { 0 }; // ms, from its placement to the end of its response
    Millis untilFirstEvent { 0 }; // ms, from its placement to the first event of a stream
    uint32_t answerTokens = 0; // limit of the answer's tokens that the caller declared; 0: none, or no stream

    auto operator<=>(const ServiceTime&) const = default;
};

class ServiceTimes {
public:
    struct Options {
        Clock clock;
        Millis window { 30000 }; // ms; a sample counts for one to two windows
    };

    explicit ServiceTimes(Options options);

    // Records how long a request of a route ran.
    void note(const std::string& route, const ServiceTime& time);

    // Returns a time in ms within which a request of the route is expected to end, even a long one; nullopt without a
    // recent sample. `answerTokens` is as in ServiceTime. Two estimates are made, and the lower one counts: the time of the longest
    // recent request, in proportion to the limit of tokens where this one's is higher; and, for a stream, the slowest start with the
    // slowest pace of recent ones, up to its limit. Both get a margin that is larger if there are few samples.
    std::optional<Millis> longest(const std::string& route, uint32_t answerTokens) const;

    // Forgets the routes for which the predicate returns false.
    void retainIf(const std::function<bool(const std::string& route)>& isKept);

private:
    struct Samples {
        Millis longest { 0 };
        uint32_t longestAnswerTokens = 0; // limit of the request that took longest
        size_t count = 0;
        Millis slowestStart { 0 }; // longest time until the first event of streams with a limit of tokens
        double slowestPace = 0; // ms per token of the limit, of these streams after their first event
        size_t pacedCount = 0;

        Samples mergedWith(const Samples& other) const;
        double estimateByLongest(uint32_t answerTokens) const;
        double estimateByPace(uint32_t answerTokens) const;
    };

    // The samples of a route in two successive windows.
    struct Windows {
        Samples current;
        Samples previous;
        Millis startedAt { 0 }; // start of the current one
    };

    Options options_;
    std::map<std::string, Windows> byRoute_;
};

// Returns whether a request that is placed now ends in time. `longest` is ServiceTimes::longest() of its route; without it, only
// `limit` counts: the time in ms after which the request ends in any case, by its deadline.
bool endsInTime(Millis timeLeft, std::optional<Millis> longest, Millis limit);

} // namespace hemlockweir
