#pragma once

#include "wire/Messages.h"

// The figures of the shared report as nodes tell them to each other. Every figure belongs to one
// incarnation of one node and only grows, so copies merge by the larger value.

namespace hemlockweir {

// How requests of one caller and priority ended at one node.
struct ServiceRow {
    std::string caller;
    std::string priority;
    uint64_t whole = 0; // answered whole, first token on time
    uint64_t late = 0; // answered whole, first token late
    uint64_t refused = 0; // not run
    uint64_t failed = 0; // run and not answered whole, or outcome unknown
    uint64_t abandoned = 0; // the caller went away
    uint64_t tokens = 0; // tokens sent to the caller

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(bounded(caller, maxNameLength), bounded(priority, maxNameLength), whole, late, refused, failed, abandoned, tokens);
    }
    auto operator<=>(const ServiceRow&) const = default;
};

// What one cause wasted in the failure domain that a node tends.
struct WasteRow {
    std::string cause;
    uint64_t strandedMs = 0; // ms of accelerators that stood in no whole group
    uint64_t downtimeMs = 0; // ms of groups that were down

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(bounded(cause, maxNameLength), strandedMs, downtimeMs);
    }
    auto operator<=>(const WasteRow&) const = default;
};

// Some rows of one incarnation of the sender. Rows that are missing have not changed.
struct Counters {
    static constexpr MessageKind kind = MessageKind::Counters;
    int64_t updatedMs = 0; // wall time of the figures, ms since the epoch
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
