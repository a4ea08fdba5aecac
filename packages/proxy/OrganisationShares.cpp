#include "proxy/OrganisationShares.h"

#include "base/StableHash.h"

#include <algorithm>

namespace hemlockweir {

// Time constants of the decay after which a silent peer is forgotten: 1% of its use is left.
static constexpr int silentTimeConstants = 5;

uint32_t hashOrganisation(const std::string& name)
{
    if (name.empty())
        return 0;
    const uint64_t hash = extendStableHash(stableHashStart, name);
    return std::max<uint32_t>(1, static_cast<uint32_t>(hash ^ (hash >> 32)));
}

void OrganisationShares::setOrganisations(const std::vector<Organisation>& organisations)
{
    known_.clear();
    for (const Organisation& organisation : organisations)
        known_.insert(hashOrganisation(organisation.name));
    use_.retainIf([this](uint32_t key) { return isActive() && isKnown(key); });
}

uint32_t OrganisationShares::keyOf(const std::string& name) const
{
    const uint32_t key = hashOrganisation(name);
    return isKnown(key) ? key : 0;
}

void OrganisationShares::charge(uint32_t key, double workMs, Millis now)
{
    if (isActive() && isKnown(key))
        use_.charge(key, workMs, now);
}

bool OrganisationShares::isBelowMeanUse(uint32_t key, Millis now) const
{
    if (!isActive())
        return false;
    std::vector<double> uses { use_.at(0, now) };
    for (const uint32_t other : known_)
        uses.push_back(use_.at(other, now));
    return isBelowMean(use_.at(key, now), uses);
}

std::vector<OrganisationUse> OrganisationShares::ownUses(Millis now) const
{
    std::vector<OrganisationUse> uses;
    for (const auto& [key, useMs] : use_.own(now, 1))
        uses.push_back({ .organisation = key, .useMs = static_cast<uint32_t>(std::min(useMs, 4e9)) });
    if (uses.size() > maxReports) {
        std::nth_element(uses.begin(), uses.begin() + maxReports, uses.end(), [](const OrganisationUse& one, const OrganisationUse& other) { return one.useMs > other.useMs; });
        uses.resize(maxReports);
    }
    return uses;
}

void OrganisationShares::setPeerUses(const std::string& node, const std::vector<OrganisationUse>& uses, Millis now)
{
    std::map<uint32_t, double> known;
    for (const OrganisationUse& row : uses) {
        if (isActive() && isKnown(row.organisation))
            known.emplace(row.organisation, row.useMs);
    }
    use_.setPeer(node, known, now);
}

void OrganisationShares::sweep(Millis now)
{
    use_.dropPeersBefore(now - recentUseTime * silentTimeConstants, now);
}

} // namespace hemlockweir
