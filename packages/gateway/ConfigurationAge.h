#pragma once

#include <cstdint>

namespace hemlockweir {

// Orders configurations over restores of the store. Within an era a higher version is newer. A restored store may hold an older
// version than the one in force, which the operators write again; only what they wrote after the restore replaces a higher
// version.
class ConfigurationAge {
public:
    constexpr ConfigurationAge() = default;

    // The operators wrote the configuration in one of the eras from `firstEra` to `lastEra`. A listing doesn't tell whether an
    // item was written before or after the restore.
    constexpr ConfigurationAge(uint64_t version, uint64_t firstEra, uint64_t lastEra)
        : version_(version)
        , firstEra_(firstEra)
        , lastEra_(lastEra)
    {
    }

    constexpr uint64_t version() const { return version_; }
    constexpr uint64_t firstEra() const { return firstEra_; }
    constexpr uint64_t lastEra() const { return lastEra_; }

    // Returns whether this configuration replaces another one that is in force.
    constexpr bool supersedes(const ConfigurationAge& other) const
    {
        const bool isOfLaterEra = firstEra_ > other.lastEra_;
        const bool isOfEarlierEra = lastEra_ < other.firstEra_;
        return isOfLaterEra || (!isOfEarlierEra && version_ > other.version_);
    }

    constexpr bool operator==(const ConfigurationAge&) const = default;

private:
    uint64_t version_ = 0; // 0: none
    uint64_t firstEra_ = 0;
    uint64_t lastEra_ = 0;
};

} // namespace hemlockweir
