#pragma once

#include "report/Metrics.h"
#include "wire/Counters.h"

#include <map>
#include <mutex>

// Counters of the shared report, by node incarnation.
//
// Only the incarnation itself increments its counters. Copies are merged by taking the larger value
// of each counter. A stale, duplicate or late copy therefore changes nothing, and a counter is lost
// only if all its copies are. CounterTable is thread-safe. No other lock is acquired while its lock
// is held.

namespace hemlockweir {

// Identifies one start of one node.
struct PartId {
    std::string node;
    uint64_t incarnation = 0;

    auto operator<=>(const PartId&) const = default;
};

// The counters of one incarnation. Rows are sorted and have unique keys.
struct ReportPart {
    PartId id;
    int64_t updatedMs = 0; // wall time of the counters, ms since the Unix epoch
    std::vector<ServiceRow> service;
    std::vector<WasteRow> waste;

    auto operator<=>(const ReportPart&) const = default;
};

// Returns the larger value of each counter. Commutative, associative and idempotent.
ReportPart mergeParts(const ReportPart& a, const ReportPart& b);

class CounterTable {
public:
    // Counts one finished request in the part of this process.
    void count(const PartId& own, const RequestRecord& record, int64_t nowMs);

    // Merges a copy of some rows of a part. Returns true if a counter or the time increased, false
    // if nothing changed or the table is full.
    bool merge(const ReportPart& part);

    // Return all parts, or one. An unknown part is returned empty.
    std::vector<ReportPart> parts() const;
    ReportPart part(const PartId& id) const;

    // Removes a part whose counters are stored elsewhere.
    void remove(const PartId& id);

private:
    mutable std::mutex mutex_;
    std::map<PartId, ReportPart> parts_;
};

} // namespace hemlockweir
