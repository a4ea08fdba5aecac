#pragma once

#include "gateway/ConfigurationAge.h"
#include "gateway/PlatformAdapter.h"
#include "gateway/StoreFollower.h"

// Follows the operators' configuration and applies the newest version. A version that can't be decoded, or is not
// newer than the current one, is ignored. After a restore of the store the current one stays in force until the operators have
// written one in the new era, or the store holds a higher version (ConfigurationAge.h).

namespace hemlockweir {

class ConfigurationFollower {
public:
    struct Options {
        std::function<void(std::shared_ptr<const RouteTable>)> onConfiguration; // a newer version was applied
    };

    ConfigurationFollower(Options options, StoreFollower& store, const PlatformAdapter& adapter, DecisionLog& log);

    // Applies a configuration from the store or from another node if it is newer. The operators wrote it in one of the eras from
    // `firstEra` to `lastEra`. Returns whether it was applied. `source` is logged.
    bool apply(const std::string& text, std::string_view source, uint64_t firstEra = 0, uint64_t lastEra = 0);

    // Returns the text of the current version; empty if there is none yet.
    const std::string& text() const { return text_; }
    uint64_t version() const { return age_.version(); }
    const ConfigurationAge& age() const { return age_; }

private:
    void update();
    bool isWrittenInItsEra(const KvItem& item) const;

    Options options_;
    const PlatformAdapter& adapter_;
    DecisionLog& log_;
    StoreFollower& store_;
    std::string text_;
    ConfigurationAge age_; // of the current version
    StoreRevision revision_; // at which the store held the current version; number 0: it came from another node
    StoreRevision lastRevision_; // of the item processed last
};

} // namespace hemlockweir
