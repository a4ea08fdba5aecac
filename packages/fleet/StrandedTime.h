#pragma once

#include "fleet/DomainView.h"

// Counts the time that accelerators spent not serving, by cause, and the time that groups were
// down. Pure apart from a mutex of its own, a leaf lock, so that totals() can be called from any
// thread.

namespace hemlockweir {

// Totals since the start of the node. They only increase. One instance counts as one accelerator.
struct StrandedTotals {
    uint64_t missingMemberMs = 0; // ms, in a group that lacks a member
    uint64_t loadingMs = 0; // ms, in a whole group that loads
    uint64_t noPartnerMs = 0; // ms, idle: too few others in the fabric domain, or no model needs it
    uint64_t cutOffMs = 0; // ms, in no whole group while the platform is unreachable, so that none can be formed
    uint64_t leavingMs = 0; // ms, leaving: drained by the platform, itself or an operator
    uint64_t notReportingMs = 0; // ms, listed but not reporting
    uint64_t servingMs = 0; // ms, in a group that serves
    uint64_t groupDownMs = 0; // group-ms, of groups that some member still reports but that are not whole
    uint64_t unobservedMs = 0; // ms of wall time for which this node was responsible but had no snapshot

    auto operator<=>(const StrandedTotals&) const = default;
};

class StrandedTime {
public:
    struct Snapshot {
        std::string domain;
        std::set<std::string> pools; // pools of the models; other instances are not counted
        std::vector<InstanceView> instances;
        Millis now { 0 };
        Millis freshness { 1500 }; // ms, maximum age of a report
        bool isCutOff = false; // the platform is unreachable
    };

    // Adds the time since the previous snapshot. A gap longer than the freshness counts as
    // unobserved.
    void observe(const Snapshot& snapshot);

    // Stops counting until the next snapshot, because another node counts now.
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
