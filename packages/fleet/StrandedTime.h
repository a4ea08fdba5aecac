#pragma once

#include "fleet/DomainView.h"

// Counts how long accelerators served nothing, by cause, and how long groups were down. Pure but
// for a lock of its own, a leaf, so that totals() may be read from any thread.

namespace hemlockweir {

// Totals since the start of the node; they only grow. One instance counts as one accelerator.
struct StrandedTotals {
    uint64_t missingMemberMs = 0; // ms, in a group that waits for a member
    uint64_t loadingMs = 0; // ms, in a whole group that loads
    uint64_t noPartnerMs = 0; // ms, idle: too few others in the fabric domain, or not wanted
    uint64_t cutOffMs = 0; // ms, in no whole group while the platform can not be reached to form one
    uint64_t leavingMs = 0; // ms, leaving: drained by the platform, itself or an operator
    uint64_t notReportingMs = 0; // ms, listed but silent
    uint64_t servingMs = 0; // ms, in a group that serves
    uint64_t groupDownMs = 0; // group-ms, groups that some member still claims but that are not whole
    uint64_t unobservedMs = 0; // ms of wall time that this node should have counted and did not see

    auto operator<=>(const StrandedTotals&) const = default;
};

class StrandedTime {
public:
    struct Snapshot {
        std::string domain;
        std::set<std::string> pools; // of the models; other instances are not counted
        std::vector<InstanceView> instances;
        Millis now { 0 };
        Millis freshness { 1500 }; // ms
        bool isCutOff = false; // the platform can not be reached
    };

    // Adds the time since the snapshot before; a gap longer than the freshness counts as unobserved.
    void observe(const Snapshot& snapshot);

    // Says that another node counts now.
    void suspend();

    StrandedTotals totals() const;

private:
    void addGroups(const Snapshot& snapshot, const DomainView& view, uint64_t elapsedMs);
    void addUnassigned(const Snapshot& snapshot, const DomainView& view, uint64_t elapsedMs);

    mutable std::mutex mutex_;
    StrandedTotals totals_;
    std::optional<Millis> lastObservedAt_;
};

} // namespace hemlockweir
