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
    Itself, // looks at it and tells nobody
    Teller, // looks at it and tells the others
};

class ObserverRoles {
public:
    struct Options {
        size_t observers = 2; // nodes that look at an instance always
        size_t reserves = 2; // nodes next in rank
        size_t fewNodes = 3; // up to so many each looks at every instance and tells nobody
        Millis hold { 10000 }; // ms, for which a look that was started for want of news goes on
        size_t mostHeld = 32; // instances looked at for want of news at once, so that a shortage of news brings no flood of looks
        Clock clock;
        std::function<size_t(const std::vector<std::string>& nodes, const std::string& instance)> rank; // of this node
    };

    explicit ObserverRoles(Options options);

    // Sets the living nodes of the failure domain, this one included.
    void setNodes(const std::vector<std::string>& nodes);

    // Sets the instances that lack a fresh report soon, and those that lack it now.
    void setStale(const std::set<std::string>& soon, const std::set<std::string>& now);

    // Whether the nodes share the looks at all.
    bool isSharing() const { return nodes_.size() > options_.fewNodes; }

    ObserverRole roleFor(const std::string& instance);

    // Whether this node comes first among those that look at the instance.
    bool isFirstFor(const std::string& instance) { return rankFor(instance) == 0; }

private:
    void hold(const std::string& instance, Millis until);
    size_t rankFor(const std::string& instance);

    Options options_;
    std::vector<std::string> nodes_;
    std::map<std::string, size_t> ranks_; // by instance, of this node
    std::map<std::string, Millis> heldUntil_; // by instance
};

} // namespace hemlockweir
