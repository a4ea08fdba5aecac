#pragma once

#include "fleet/FleetTable.h"

// One failure domain as its planner sees it: the groups whose members agree, and the instances
// that are in none.

namespace hemlockweir {

// A group that every member reports alike and freshly, ready or still loading.
struct AgreedGroup {
    const InstanceView* leader = nullptr;
    std::vector<const InstanceView*> members; // leader first
    bool isLoading = false;
    bool isLeaving = false; // some member is to get no new work
    bool hasRequests = false; // as its leader reports

    const InstanceStatus& report() const { return *leader->status; }
};

struct DomainView {
    std::vector<AgreedGroup> groups;
    std::vector<const InstanceView*> unassigned; // report freshly, and are in no agreed group
    std::vector<const InstanceView*> unresponsive; // listed, without a fresh report
    std::map<std::string, const InstanceView*> byId;
};

// Sorts out the instances of a failure domain. The result points into `instances`.
DomainView makeDomainView(const std::string& domain, const std::vector<InstanceView>& instances, Millis now, Millis freshness);

// Whether an instance's group can not become whole again by itself: a member is not listed, or
// reports freshly that it is elsewhere.
bool isUnrecoverable(const InstanceView& instance, const DomainView& view, Millis now, Millis freshness);

} // namespace hemlockweir
