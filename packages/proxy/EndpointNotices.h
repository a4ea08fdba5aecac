#pragma once

#include "base/Clock.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>

// What endpoints announced in their answers to this node: that they leave, or that they want no request for some time.
// Known at once, before the platform's list shows it and whether or not the platform can be reached. An announcement
// belongs to one incarnation of the endpoint. Performs no I/O.

namespace hemlockweir {

class EndpointNotices {
public:
    struct Options {
        Clock clock;
        Millis maxPause { 60000 }; // ms; an endpoint that asks for more gets this
        Millis leavingTime { 600000 }; // ms after the last announcement to leave; an endpoint that is still there then may be used again
    };

    explicit EndpointNotices(Options options);

    // Records that an endpoint leaves. Returns whether that is news.
    bool noteLeaving(const std::string& endpoint, int64_t startedAtMs);

    // Records that an endpoint wants no request for a time in ms from now. The later end of two such times holds.
    void notePause(const std::string& endpoint, int64_t startedAtMs, Millis time);

    // Returns the time before which the endpoint gets no request; 0 if it may get one.
    Millis unavailableUntil(const std::string& endpoint, int64_t startedAtMs) const;

    // Returns the end of the pause that an endpoint asked for; 0 if it asked for none, or leaves.
    Millis pausedUntil(const std::string& endpoint, int64_t startedAtMs) const;

    // Removes expired entries. Call periodically.
    void sweep();

private:
    struct Notice {
        int64_t startedAtMs = 0; // incarnation of the endpoint, by its start in ms since the Unix epoch
        Millis leavingUntil { 0 };
        Millis pausedUntil { 0 };

        Millis until() const { return std::max(leavingUntil, pausedUntil); }
    };

    Notice& findOrCreate(const std::string& endpoint, int64_t startedAtMs);

    Options options_;
    std::map<std::string, Notice> notices_; // by endpoint id
};

// Returns the time in ms from a Retry-After in seconds, which may have decimals; nullopt for a date or any other text.
std::optional<Millis> parseRetryAfter(std::string_view text);

} // namespace hemlockweir
