#pragma once

#include "gateway/PlatformAdapter.h"
#include "gateway/StoreFollower.h"

// Follows the operators' configuration and applies the newest version. A version that can't be decoded, or is not
// newer than the current one, is ignored.

namespace hemlockweir {

class ConfigurationFollower {
public:
    struct Options {
        std::function<void(std::shared_ptr<const RouteTable>)> onConfiguration; // a newer version was applied
    };

    ConfigurationFollower(Options options, StoreFollower& store, const PlatformAdapter& adapter, DecisionLog& log);

    // Applies a configuration from the store or from another node if it is newer. Returns whether it was applied.
    // `source` is logged.
    bool apply(const std::string& text, std::string_view source);

    // Returns the text of the current version; empty if there is none yet.
    const std::string& text() const { return text_; }
    uint64_t version() const { return version_; }

private:
    void update();

    Options options_;
    const PlatformAdapter& adapter_;
    DecisionLog& log_;
    StoreFollower& store_;
    std::string text_;
    uint64_t version_ = 0;
    uint64_t lastRevision_ = 0; // store revision of the item processed last
};

} // namespace hemlockweir
