#pragma once

#include "wire/Messages.h"

// Counters of the shared report, as nodes send them to each other. Each counter belongs to one
// incarnation of one node and never decreases, so copies are merged by taking the larger value.

namespace hemlockweir {

// Outcomes of the requests of one caller and priority at one node.
struct ServiceRow {
    std::string caller;
    std::string priority;
    uint64_t whole = 0; // answered completely, first token on time
    uint64_t late = 0; // answered completely, first token late
    uint64_t refused = 0; // not run
    uint64_t failed = 0; // run but not answered completely, or outcome unknown
    uint64_t abandoned = 0; // caller disconnected
    uint64_t tokens = 0; // tokens sent to the caller

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(bounded(caller, maxNameLength), bounded(priority, maxNameLength), whole, late, refused, failed, abandoned, tokens);
    }
    auto operator<=>(const ServiceRow&) const = default;
};

// Capacity lost to one cause in the failure domain that a node manages.
struct WasteRow {
    std::string cause;
    uint64_t strandedMs = 0; // accelerator-ms outside any whole group
    uint64_t downtimeMs = 0; // group-ms of downtime

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(bounded(cause, maxNameLength), strandedMs, downtimeMs);
    }
    auto operator<=>(const WasteRow&) const = default;
};

// Changed rows of one incarnation of the sender. Rows that are missing have not changed.
struct Counters {
    static constexpr MessageKind kind = MessageKind::Counters;
    int64_t updatedMs = 0; // wall time of the counters, ms since the Unix epoch
    std::vector<ServiceRow> service;
    std::vector<WasteRow> waste;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(updatedMs, bounded(service, maxRowsPerMessage), bounded(waste, maxRowsPerMessage));
    }
    auto operator<=>(const Counters&) const = default;
};

} // namespace hemlockweir
