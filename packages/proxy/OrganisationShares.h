#pragma once

#include "proxy/ProxyConfiguration.h"
#include "schedule/RecentUse.h"

#include <set>

// The recent use of each organisation, in ms of engine time over this node and its peers. When requests wait, the
// organisation with the lowest recent use goes first, so that one that sends more than its share delays only itself.

namespace hemlockweir {

// The recent use of one organisation at one node, as nodes report it to each other.
struct OrganisationUse {
    uint32_t organisation = 0; // hashOrganisation() of its name
    uint32_t useMs = 0; // ms of engine time, decayed

    auto operator<=>(const OrganisationUse&) const = default;
};

// Returns the hash that identifies an organisation in messages between nodes; 0 for an empty name.
uint32_t hashOrganisation(const std::string& name);

class OrganisationShares {
public:
    // Rows that a report has at most. The organisations with the largest use are reported.
    static constexpr size_t maxReports = 200;

    // Sets the organisations of the configuration. The use of all others is discarded.
    void setOrganisations(const std::vector<Organisation>& organisations);

    // Returns whether the configuration names organisations.
    bool isActive() const { return !known_.empty(); }

    // Returns the key of an organisation in the other functions. Requests without an organisation, or with one that the
    // configuration no longer names, share the key 0.
    uint32_t keyOf(const std::string& name) const;

    // Charges the work of a request that was placed, in ms of engine time.
    void charge(uint32_t key, double workMs, Millis now);

    // Returns the recent use in ms of engine time.
    double use(uint32_t key, Millis now) const { return isActive() ? use_.at(key, now) : 0; }

    // Returns whether the use of an organisation is below the mean of those with noticeable use.
    bool isBelowMeanUse(uint32_t key, Millis now) const;

    // Returns what to tell the other nodes.
    std::vector<OrganisationUse> ownUses(Millis now) const;

    // Replaces what another node told.
    void setPeerUses(const std::string& node, const std::vector<OrganisationUse>& uses, Millis now);

    // Forgets peers that have been silent for so long that their use has decayed. Call periodically.
    void sweep(Millis now);

private:
    bool isKnown(uint32_t key) const { return key == 0 || known_.count(key) > 0; }

    std::set<uint32_t> known_; // hashes of the configured organisations
    RecentUse<uint32_t> use_;
};

} // namespace hemlockweir
