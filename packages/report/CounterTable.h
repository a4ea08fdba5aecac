#pragma once

#include "report/Metrics.h"
#include "wire/Counters.h"

#include <map>
#include <mutex>

// The figures of the shared report, by node incarnation.
//
// Only an incarnation itself counts up its figures; every copy of them merges by the larger
// value. So a copy that is old, doubled, late or written twice changes nothing, and a figure is
// lost only when every copy of it is. CounterTable is thread-safe; its lock is a leaf.

namespace hemlockweir {

// One run of one node.
struct PartId {
    std::string node;
    uint64_t incarnation = 0;

    auto operator<=>(const PartId&) const = default;
};

// The figures of one incarnation; rows are sorted and their names unique.
struct ReportPart {
    PartId id;
    int64_t updatedMs = 0; // wall time of the figures, ms since the epoch
    std::vector<ServiceRow> service;
    std::vector<WasteRow> waste;

    auto operator<=>(const ReportPart&) const = default;
};

// Returns the larger of each figure. Commutative, associative and idempotent.
ReportPart mergeParts(const ReportPart& a, const ReportPart& b);

class CounterTable {
public:
    // Counts one finished request of this process under its part.
    void count(const PartId& own, const RequestRecord& record, int64_t nowMs);

    // Takes a copy of some rows of a part; true when a figure or a time grew.
    bool merge(const ReportPart& part);

    // All parts, or one; an empty part when it is unknown.
    std::vector<ReportPart> parts() const;
    ReportPart part(const PartId& id) const;

    // Forgets a part whose figures are kept elsewhere.
    void remove(const PartId& id);

private:
    mutable std::mutex mutex_;
    std::map<PartId, ReportPart> parts_;
};

} // namespace hemlockweir
