#pragma once

#include "wire/Messages.h"

// Messages that report which requests were running on an endpoint when it died.

namespace hemlockweir {

// One request that was running on one endpoint when it died.
struct DeathRow {
    uint64_t fingerprint = 0; // hash of the caller and the request body
    uint64_t deathId = 0; // hash of the group and epoch that died
    bool cleared = false; // the request has since finished elsewhere
    uint32_t ageMs = 0; // ms since the death was observed

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(fingerprint, deathId, cleared, ageMs);
    }
    auto operator<=>(const DeathRow&) const = default;
};

// Deaths that the sender observed or cleared, and the groups that it has reserved or announced for
// suspects.
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
