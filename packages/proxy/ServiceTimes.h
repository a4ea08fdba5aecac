#pragma once

#include "base/Clock.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

// Estimates how long requests run at their endpoints, from those that were answered completely. A node that shuts down
// takes no request that may not end before its process does. Performs no I/O.

namespace hemlockweir {

class ServiceTimes {
public:
    struct Options {
        Clock clock;
        Millis window { 30000 }; // ms; a sample counts for one to two windows
    };

    explicit ServiceTimes(Options options);

    // Records how long a request of a route ran, from its placement to the end of its complete response.
    void note(const std::string& route, Millis time);

    // Returns a time in ms within which a request of the route is expected to end, even a long one; nullopt without a
    // recent sample. It is the longest of the recent samples plus a margin that is larger if there are few: responses vary in length
    // by an order of magnitude, so an average and its deviation miss the long ones.
    std::optional<Millis> longest(const std::string& route) const;

    // Forgets the routes for which the predicate returns false.
    void retainIf(const std::function<bool(const std::string& route)>& isKept);

private:
    struct Samples {
        Millis longest { 0 };
        size_t count = 0;
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

// Returns whether a request that is placed now ends in time. `longest` is ServiceTimes::longest() of its route. `limit` is the
// time in ms after which it ends in any case, by its deadline.
bool endsInTime(Millis timeLeft, std::optional<Millis> longest, Millis limit);

} // namespace hemlockweir
