#pragma once

#include "schedule/RecentUse.h"

#include <deque>
#include <optional>

// A weighted fair queue for the waiting jobs of one priority. The next job is the oldest job of the caller with the
// lowest recent use in tokens, divided by its weight, over this node and its peers. Use decays over time, so a share
// that a caller does not use goes to the others, who are not charged for it for long.

namespace hemlockweir {

// Tokens recently granted to one caller.
struct CallerTokens {
    std::string caller;
    double tokens = 0;

    auto operator<=>(const CallerTokens&) const = default;
};

class FairQueue {
public:
    // Adds and removes waiting jobs. The weight replaces the caller's previous one.
    void push(uint64_t job, const std::string& caller, double weight);
    // Like push(), but puts the job before the caller's other jobs.
    void pushFront(uint64_t job, const std::string& caller, double weight);
    void remove(uint64_t job, const std::string& caller);
    size_t size() const { return size_; }
    size_t sizeOf(const std::string& caller) const;

    // Returns the next job to run.
    std::optional<uint64_t> front(Millis now) const;

    // Returns how many jobs run before a new one of this caller, if each costs `cost` tokens.
    double jobsAhead(const std::string& caller, double weight, double cost, Millis now) const;

    // Returns whether the caller's recent use, divided by its weight, is below the mean of all callers with recent use.
    bool isBelowMeanUse(const std::string& caller, Millis now) const;

    // Updates and returns recent use. Callers' tokens at peers are as last reported by each peer.
    void charge(const std::string& caller, double tokens, Millis now);
    void setPeerTokens(const std::string& node, const std::map<std::string, double>& tokensByCaller, Millis now) { used_.setPeer(node, tokensByCaller, now); }
    void dropPeer(const std::string& node, Millis now) { used_.dropPeer(node, now); }
    std::vector<CallerTokens> tokensByCaller(Millis now) const;

private:
    struct CallerQueue {
        std::deque<uint64_t> jobs;
        double weight = 1;
    };

    // Returns the tokens at all nodes divided by the weight.
    double weightedUse(const std::string& caller, const CallerQueue& queue, Millis now) const;

    std::map<std::string, CallerQueue> queues_; // by caller
    RecentUse<std::string> used_; // tokens
    size_t size_ = 0;
};

} // namespace hemlockweir
