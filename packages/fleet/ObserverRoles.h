#pragma once

#include "base/Clock.h"

#include <map>
#include <set>
#include <string>
#include <vector>

// Decides which instances of its failure domain a node polls, so that a few nodes poll each
// instance instead of all. Pure: the clock and the ranking are hooks.
//
// For each instance, the nodes are ranked. The highest-ranked ones are its observers and always
// poll it. The next ones are standbys and start to poll it when its last report is close to stale.
// If the report becomes stale nevertheless, every node polls the instance, but only a limited
// number of such instances at a time. Consequently, a node that receives no messages can still
// serve some groups until it detects that it is isolated.
// Fallback polling means the polls by standbys and other nodes. It continues for a fixed time.

namespace hemlockweir {

enum class ObserverRole {
    None, // does not poll the instance; receives its status from peers
    Local, // polls it and keeps the result to itself
    Publisher, // polls it and publishes the result
};

class ObserverRoles {
public:
    struct Options {
        size_t observers = 2; // nodes that always poll an instance
        size_t standbys = 2; // nodes ranked next, which poll it when reports are missing
        size_t maxNodesWithoutSharing = 3; // with at most so many nodes, each polls every instance and publishes nothing
        Millis fallbackDuration { 10000 }; // ms that fallback polling of an instance lasts
        size_t maxFallbacks = 32; // instances in fallback polling at once; limits the load when many reports are missing
        Clock clock;
        std::function<size_t(const std::vector<std::string>& nodes, const std::string& instance)> rank; // returns this node's rank
    };

    explicit ObserverRoles(Options options);

    // Sets the live nodes of the failure domain, including this one.
    void setNodes(const std::vector<std::string>& nodes);

    // Sets the instances whose last report is close to stale, and those whose last report is stale.
    void setStale(const std::set<std::string>& nearlyStale, const std::set<std::string>& stale);

    // Returns whether the nodes share their polls at all.
    bool isSharing() const { return nodes_.size() > options_.maxNodesWithoutSharing; }

    ObserverRole roleFor(const std::string& instance);

    // Returns whether this node ranks first for the instance.
    bool isPrimaryFor(const std::string& instance) { return rankFor(instance) == 0; }

private:
    void startFallback(const std::string& instance, Millis until);
    size_t rankFor(const std::string& instance);

    Options options_;
    std::vector<std::string> nodes_;
    std::map<std::string, size_t> ranks_; // this node's rank, by instance
    std::map<std::string, Millis> fallbackUntil_; // by instance
};

} // namespace hemlockweir
