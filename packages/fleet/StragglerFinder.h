#pragma once

#include "fleet/FleetTable.h"

// Finds instances whose steps have taken much longer than those of their peers for some time. Pure.

namespace hemlockweir {

struct StragglerOptions {
    double factor = 2.5; // multiple of the median step time of the pool's instances in the failure domain
    Millis minDuration { 5000 }; // ms that an instance must have been that slow
    size_t minPeers = 4; // minimum number of instances with a step time in the pool; below it, none is a straggler
};

class StragglerFinder {
public:
    explicit StragglerFinder(StragglerOptions options)
        : options_(options)
    {
    }

    // Updates the slow instances from the reports of one failure domain.
    void observe(const std::string& domain, const std::vector<InstanceView>& instances, Millis now);

    bool isStraggler(const std::string& instance, Millis now) const;

private:
    StragglerOptions options_;
    std::map<std::string, Millis> slowSince_; // by instance
};

} // namespace hemlockweir
