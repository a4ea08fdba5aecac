#pragma once

#include "base/Clock.h"
#include "wire/Codec.h"

#include <map>

// What callers use in each failure domain: one row a caller and domain, so that fairness holds
// between domains without a row for each node. Pure: time is given.

namespace hemlockweir {

class CallerSums {
public:
    struct Options {
        std::string domain; // of this node
        Millis lifetime { 10000 }; // ms after which what was said counts no more
    };

    explicit CallerSums(Options options);

    // Notes what one node of this failure domain uses.
    void noteNode(const std::string& node, const std::vector<CallerUse>& callers, Millis now);
    void dropNode(const std::string& node);

    // Adds up this node's use and that of its domain, the largest rows first.
    DomainUse make(const std::vector<CallerUse>& own, Millis now) const;

    // Takes the sum of another domain. False: of this one, or older than what its sender said before.
    bool take(const DomainUse& sum, const Sender& sender, Millis now);

    // The sums of the other domains that count.
    std::vector<DomainUse> current(Millis now) const;
    bool covers(const std::string& domain, Millis now) const;

    // Forgets what counts no more.
    void prune(Millis now);

private:
    struct NodeCallers {
        std::vector<CallerUse> callers;
        Millis heardAt { 0 };
    };
    struct Heard {
        DomainUse sum;
        Sender sender;
        Millis heardAt { 0 };
    };

    bool counts(Millis heardAt, Millis now) const { return now - heardAt <= options_.lifetime; }

    Options options_;
    std::map<std::string, NodeCallers> nodes_; // of this domain
    std::map<std::string, Heard> sums_; // by domain
};

} // namespace hemlockweir
