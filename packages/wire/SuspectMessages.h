#pragma once

#include "wire/Messages.h"

// The messages that tell which requests were on an endpoint when it died.

namespace hemlockweir {

// One request that was on one endpoint when it died.
struct DeathRow {
    uint64_t fingerprint = 0; // of the caller and the body
    uint64_t deathId = 0; // of the group and epoch that died
    bool cleared = false; // the request finished elsewhere since
    uint32_t ageMs = 0; // ms since the death was seen

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(fingerprint, deathId, cleared, ageMs);
    }
    auto operator<=>(const DeathRow&) const = default;
};

// Deaths that the sender saw, and the groups on which it runs suspects now.
struct Suspects {
    static constexpr MessageKind kind = MessageKind::Suspects;
    std::vector<DeathRow> deaths;
    std::vector<std::string> groups;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(bounded(deaths, maxRowsPerMessage), bounded(groups, maxRowsPerMessage));
    }
    auto operator<=>(const Suspects&) const = default;
};

} // namespace hemlockweir
