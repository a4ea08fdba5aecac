#pragma once

#include "schedule/Decayed.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

// The waiting jobs of one priority, shared fairly between callers: the next job is the oldest of
// the caller that used lowestUse lately for its weight, here and at the other nodes. Use fades, so a
// share that a caller does not use is lent to the rest and need not be paid back for long.

namespace hemlockweir {

// Tokens granted to one caller lately.
struct CallerTokens {
    std::string caller;
    double tokens = 0;

    auto operator<=>(const CallerTokens&) const = default;
};

class FairQueue {
public:
    // Jobs.
    void push(uint64_t job, const std::string& caller, double weight);
    // The same, before the caller's other jobs.
    void pushFront(uint64_t job, const std::string& caller, double weight);
    void remove(uint64_t job, const std::string& caller);
    size_t size() const { return size_; }
    size_t sizeOf(const std::string& caller) const;

    // The job that is next in turn.
    std::optional<uint64_t> front(Millis now) const;

    // Jobs that go before a new one of this caller, if each costs `cost` tokens.
    double jobsAhead(const std::string& caller, double weight, double cost, Millis now) const;

    // Whether the caller used less lately, for its weight, than the mean of those that used any.
    bool isBelowMeanUse(const std::string& caller, Millis now) const;

    // Use.
    void charge(const std::string& caller, double tokens, Millis now);
    void setPeerTokens(const std::string& node, const std::map<std::string, double>& tokensByCaller);
    void dropPeer(const std::string& node) { peerTokens_.erase(node); }
    std::vector<CallerTokens> tokensByCaller(Millis now) const;

private:
    struct CallerQueue {
        std::deque<uint64_t> jobs;
        double weight = 1;
        DecayedSum used { Millis(3000) }; // tokens
    };

    double peerUse(const std::string& caller) const;
    double weightedUse(const std::string& caller, const CallerQueue& queue, Millis now) const;

    std::map<std::string, CallerQueue> queues_; // by caller
    std::map<std::string, std::map<std::string, double>> peerTokens_; // tokens by node, by caller
    size_t size_ = 0;
};

} // namespace hemlockweir
