#pragma once

#include "fleet/FleetTable.h"

// Finds instances that take much longer for a step than their peers, for some time. Pure.

namespace hemlockweir {

struct StragglerOptions {
    double factor = 2.5; // times the median step time of the pool's instances in the failure domain
    Millis minDuration { 5000 }; // ms that an instance must be that slow
    size_t minPeers = 4; // instances with a step time before anything is concluded
};

class StragglerFinder {
public:
    explicit StragglerFinder(StragglerOptions options)
        : options_(options)
    {
    }

    // Takes the reports of one failure domain.
    void observe(const std::string& domain, const std::vector<InstanceView>& instances, Millis now);

    bool isStraggler(const std::string& instance, Millis now) const;

private:
    StragglerOptions options_;
    std::map<std::string, Millis> slowSince_; // by instance
};

} // namespace hemlockweir
