#pragma once

#include "base/Clock.h"

#include <map>
#include <set>
#include <string>
#include <vector>

// Which instances of its failure domain a node looks at, so that each is looked at by a few nodes
// and not by all. Pure: the clock and the ranking are hooks.
//
// The first in rank for an instance look at it always. The next ones do while nothing fresh is
// heard of it, before its last report is too old to count; and when that did not help, every node
// does, for a few instances at a time: a node that hears nobody serves some groups until it knows
// that it is alone.

namespace hemlockweir {

enum class ObserverRole {
    None, // hears of the instance
    Local, // looks at it and tells nobody
    Publisher, // looks at it and tells the others
};

class ObserverRoles {
public:
    struct Options {
        size_t observers = 2; // nodes that look at an instance always
        size_t standbys = 2; // nodes next in rank
        size_t maxNodesWithoutSharing = 3; // up to so many each looks at every instance and tells nobody
        Millis fallbackDuration { 10000 }; // ms, for which a look that was started for want of news goes on
        size_t maxFallbacks = 32; // instances looked at for want of news at once, so that a shortage of news brings no flood of looks
        Clock clock;
        std::function<size_t(const std::vector<std::string>& nodes, const std::string& instance)> rank; // of this node
    };

    explicit ObserverRoles(Options options);

    // Sets the living nodes of the failure domain, this one included.
    void setNodes(const std::vector<std::string>& nodes);

    // Sets the instances that lack a fresh report nearlyStale, and those that lack it stale.
    void setStale(const std::set<std::string>& nearlyStale, const std::set<std::string>& stale);

    // Whether the nodes share the looks at all.
    bool isSharing() const { return nodes_.size() > options_.maxNodesWithoutSharing; }

    ObserverRole roleFor(const std::string& instance);

    // Whether this node comes first among those that look at the instance.
    bool isPrimaryFor(const std::string& instance) { return rankFor(instance) == 0; }

private:
    void startFallback(const std::string& instance, Millis until);
    size_t rankFor(const std::string& instance);

    Options options_;
    std::vector<std::string> nodes_;
    std::map<std::string, size_t> ranks_; // by instance, of this node
    std::map<std::string, Millis> fallbackUntil_; // by instance
};

} // namespace hemlockweir
