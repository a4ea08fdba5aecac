#pragma once

#include "base/DecisionLog.h"
#include "gateway/PlatformAdapter.h"
#include "gateway/StoreFollower.h"

// The failure domains that the operators have evacuated: nothing is sent to the endpoints there. A domain is evacuated while
// the platform's store has a key for it; without the store the set known last stays in force, until another node reports
// newer keys. Each use of an endpoint asks this set, directly or by EndpointInfo::isEvacuated.

namespace hemlockweir {

class EvacuatedDomains {
public:
    // Must be created before the listeners of `store` that use the set, so that they see the current one.
    EvacuatedDomains(const Clock& clock, StoreFollower& store, const PlatformAdapter& adapter, DecisionLog& log);

    bool contains(const std::string& domain) const { return evacuations_.contains(domain); }

    // Returns the number of evacuated failure domains.
    size_t size() const { return evacuations_.size(); }

    // Returns the store's keys of the set, for a node that can't reach the store.
    std::vector<KvItem> items() const;

    // Logs the evacuated failure domains that no endpoint has, once for each evacuation. They stay in the set, for
    // endpoints that appear there later.
    void logUnknown(const std::vector<EndpointInfo>& endpoints);

private:
    struct Evacuation {
        Millis since { 0 }; // when this node learned of it
        bool isChecked = false; // whether the domain has endpoints was checked
    };

    void update();
    std::set<std::string> readDomains();

    Clock clock_;
    StoreFollower& store_;
    const PlatformAdapter& adapter_;
    DecisionLog& log_;
    std::map<std::string, Evacuation> evacuations_; // by failure domain
    std::map<std::string, StoreRevision> loggedUnreadable_; // last logged revision of invalid keys, by key
};

} // namespace hemlockweir
