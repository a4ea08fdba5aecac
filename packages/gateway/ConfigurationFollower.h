#pragma once

#include "gateway/PlatformAdapter.h"
#include "gateway/StoreFollower.h"

// Keeps the newest configuration of the operators. A version that can't be read, or is older than the
// one in force, changes nothing.

namespace hemlockweir {

class ConfigurationFollower {
public:
    struct Options {
        std::function<void(std::shared_ptr<const RouteTable>)> onConfiguration;
    };

    ConfigurationFollower(Options options, StoreFollower& store, const PlatformAdapter& adapter, DecisionLog& log);

    // Takes a configuration, from the store or from another node; true if it is newer and in force now.
    bool apply(const std::string& text, std::string_view source);

    // The text of the version in force; empty before the first.
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
    uint64_t lastRevision_ = 0; // of the item that was taken last
};

} // namespace hemlockweir
