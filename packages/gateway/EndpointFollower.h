#pragma once

#include "gateway/PlatformAdapter.h"
#include "gateway/StoreFollower.h"

// Keeps the list of endpoints. After the store was away, entries that lapsed meanwhile get time to come
// back before they count as gone.

namespace hemlockweir {

class EndpointFollower {
public:
    struct Options {
        Clock clock;
        Millis gracePeriod { 2600 }; // ms after the store's return in which lapsed entries come back
        std::function<void()> onChange; // after each answer of the store
    };

    EndpointFollower(Options options, StoreFollower& store, const PlatformAdapter& adapter, DecisionLog& log);

    const std::vector<EndpointInfo>& endpoints() const { return endpoints_; }

    // Their entries, for a node that the store does not answer.
    std::vector<KvItem> entries() const;

private:
    // A decoded entry.
    struct KnownEndpoint {
        EndpointInfo info;
        KvItem item; // that it was read from
    };

    void update();
    void applyItem(const KvItem& item);
    void removeMissing();

    Options options_;
    const PlatformAdapter& adapter_;
    DecisionLog& log_;
    StoreFollower& store_;
    std::vector<EndpointInfo> endpoints_;
    std::map<std::string, KnownEndpoint> known_; // by key
    std::map<std::string, uint64_t> loggedUnreadable_; // revisions that were told of, by key
};

} // namespace hemlockweir
