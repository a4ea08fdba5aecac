#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// The request rates that endpoints allow. An endpoint in trouble names in its answers how many requests a second it takes from
// all nodes together, for as long as it says so. Each node counts the requests of all: its own at once, those of the others when
// they report them. Requests that nodes sent at the same moment become a debt, which a pause makes up for. Only a few nodes
// use a limited endpoint, so that the debt stays small. A node that is not heard of is expected to use its part of the rate, so
// that nodes that can't reach each other don't exceed it together. Performs no I/O.
//
// A second source of a limit is the cold time of an endpoint: until its end, which comes by the clock, all nodes together may send
// a rate that the configuration gives. Cold times are too short to wait for reports, so each of the few nodes has a fixed part of
// the rate, whatever it hears of the others. With N nodes that use the endpoint, a rate of R and S = min(maxSharers, nodes known)
// parts, all nodes place at most N * floor(1 + 1.05 * R / S) requests in any second: 25 at R = 23 and N = S = 5. Nodes whose lists
// lack up to K of the other nodes that use cold endpoints make N at most maxSharers + K: 35 at K = 2. By the rules of
// setOwnListing(), K is 0 whichever nodes lose the store, or the number of nodes whose entries lapsed while they were joining.

namespace hemlockweir {

// What one node tells the others about the limit of an endpoint.
struct LimitReport {
    uint32_t target = 0; // hashTarget() of the endpoint's id
    int64_t startedAtMs = 0; // incarnation of the endpoint, by its start in ms since the Unix epoch
    double perSecond = 0; // requests from all nodes; 0: the limit has ended
    Millis age { 0 }; // ms since an answer said so
    uint64_t sent = 0; // requests that this node has sent under this limit

    auto operator<=>(const LimitReport&) const = default;
};

class EndpointLimits {
public:
    struct Options {
        Clock clock;
        std::string node; // name of this node
        size_t maxSharers = 5; // nodes that use one limited endpoint at most
        Millis peerTimeout { 1500 }; // ms without a report after which a node is expected to use its part of the rate
        Millis unlistedTime { 10000 }; // ms for which a node that is not listed any more keeps its part
        Millis ownListingTime { 7000 }; // ms after this node was last known to be listed for which it uses cold endpoints; less than
                                        // unlistedTime by 3 s, because the other nodes read the list at other times
        Millis joinTime { 9000 }; // ms that this node must have been listed before it uses cold endpoints; above ownListingTime
    };

    // Allowance of an endpoint without a limit.
    static constexpr double unlimited = std::numeric_limits<double>::infinity();
    // Allowance of a limited endpoint that other nodes use.
    static constexpr double notShared = -std::numeric_limits<double>::infinity();

    explicit EndpointLimits(Options options);

    // Sets the names of the other nodes. Those that are gone give up their parts later: after an outage of the store, all nodes are
    // missing from its list for a while. Call periodically.
    void setPeers(std::vector<std::string> nodes);

    // Sets when the list was last known to contain this node; nullopt: it does not now. A node uses cold endpoints only while it may
    // assume that all others that use them count it as one of the sharers: it has been listed for `joinTime`, and still was
    // `ownListingTime` ago. Others that read no list for as long have stopped by then. Call periodically.
    void setOwnListing(std::optional<Millis> listedAt);

    // Records that an endpoint is cold until a time, and the requests a second that it takes meanwhile from all nodes together. An
    // earlier end, an earlier incarnation and a rate of 0 change nothing. Returns whether the endpoint was not cold before.
    bool noteCold(uint32_t target, int64_t startedAtMs, double perSecond, Millis until);

    // Returns the number of endpoints that are cold.
    size_t coldCount() const;

    // Returns the number of requests that this node has sent to cold endpoints.
    uint64_t coldSends() const { return coldSends_; }

    // Applies an answer of an endpoint to a request that was sent at `sentAt`: the requests a second that it named, or nullopt
    // if it named none. Returns whether that changes the limit. An answer to a request that was sent before the
    // limit was last named does not end it, and one of an earlier incarnation says nothing.
    bool noteAnswer(uint32_t target, int64_t startedAtMs, std::optional<double> perSecond, Millis sentAt);

    // Records that this node sends a request to the endpoint.
    void noteSent(uint32_t target);

    // Applies the reports of another node. Call it for each of its messages, also for one without a report.
    void applyReports(const std::string& node, const std::vector<LimitReport>& reports);

    // Returns what to tell the other nodes now.
    std::vector<LimitReport> takeReports();

    // Returns how many requests this node may send to the endpoint now, a fraction or a debt included; `notShared` if it
    // does not use the endpoint.
    double allowance(uint32_t target, int64_t startedAtMs);

    // Returns the time in ms until this node may send a request; nullopt if it does not use the endpoint.
    std::optional<Millis> untilAllowed(uint32_t target, int64_t startedAtMs);

    // Removes limits that have ended, and later those of endpoints for which the predicate returns false. Call periodically.
    void sweep(const std::function<bool(uint32_t target)>& isKnown);

    bool isEmpty() const { return limits_.empty(); }

private:
    struct Cold {
        double perSecond = 0; // requests from all nodes
        Millis until { 0 };
        double tokens = 0; // requests that may be sent now
        Millis refilledAt { 0 };
    };

    struct Limit {
        int64_t startedAtMs = 0;
        double perSecond = 0; // 0: has ended
        Millis observedAt { 0 }; // when an answer said so last, to any node
        double tokens = 0; // requests that may be sent now; negative: a debt
        Millis refilledAt { 0 };
        uint64_t sent = 0; // by this node
        std::map<std::string, uint64_t> sentByPeer; // as reported last
        std::vector<std::string> sharers; // names of the nodes that may use the endpoint
        bool isFirstHand = false; // an answer told this node
        Millis changedAt { 0 }; // last change that the other nodes should hear of
        Millis reportedAt { 0 };
        Cold cold; // the limit of the cold time; the other fields are of the limit that answers name
    };

    Limit* findActive(uint32_t target, int64_t startedAtMs);
    Limit& findOrCreate(uint32_t target, int64_t startedAtMs);
    void assignSharers(uint32_t target, Limit& limit) const;
    bool isSharer(const Limit& limit) const;
    double heardFraction(const Limit& limit) const;
    void refill(Limit& limit) const;
    bool isCold(const Limit& limit) const { return options_.clock() < limit.cold.until; }
    bool usesColdEndpoints() const;
    static double coldPart(const Limit& limit) { return limit.cold.perSecond / static_cast<double>(limit.sharers.size()); }
    void refillCold(Limit& limit) const;
    Limit* findCold(uint32_t target, int64_t startedAtMs);
    double namedAllowance(uint32_t target, int64_t startedAtMs);
    double coldAllowance(uint32_t target, int64_t startedAtMs);
    std::optional<Millis> untilNamedAllowed(uint32_t target, int64_t startedAtMs);
    Millis untilColdAllowed(uint32_t target, int64_t startedAtMs);
    void applyReport(const std::string& node, const LimitReport& report);

    Options options_;
    std::vector<std::string> nodes_; // all, with this one
    std::map<std::string, Millis> listedAt_; // by name of another node, when it was listed last
    std::map<std::string, Millis> heardAt_; // by node
    std::map<uint32_t, Limit> limits_; // by target
    std::optional<Millis> listedSince_; // when this node was first known to be listed, without a longer pause since
    Millis ownListedAt_ { 0 }; // when it was last
    uint64_t coldSends_ = 0;
};

// Returns the requests a second that the text of a limit names; nullopt if it is no finite number of 0 or more.
std::optional<double> parseRequestLimit(std::string_view text);

// Returns the cold time in ms that the text names, eleven days at most; nullopt if it is no finite number of 0 or more.
std::optional<Millis> parseColdTime(std::string_view text);

} // namespace hemlockweir
