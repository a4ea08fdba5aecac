#pragma once

#include "fleet/FleetTable.h"

// The planner's view of one failure domain: the groups whose members agree, and the instances
// outside such groups.

namespace hemlockweir {

// A group that all its members report identically and freshly, whether ready or still loading.
struct AgreedGroup {
    const InstanceView* leader = nullptr;
    std::vector<const InstanceView*> members; // leader first
    bool isLoading = false;
    bool isLeaving = false; // at least one member must get no new work
    bool hasRequests = false; // according to its leader

    const InstanceStatus& report() const { return *leader->status; }
};

struct DomainView {
    std::vector<AgreedGroup> groups;
    std::vector<const InstanceView*> unassigned; // report freshly, but are in no agreed group
    std::vector<const InstanceView*> unresponsive; // listed, but without a fresh report
    std::map<std::string, const InstanceView*> byId;
};

// Classifies the instances of a failure domain. The result holds pointers into `instances`.
DomainView makeDomainView(const std::string& domain, const std::vector<InstanceView>& instances, Millis now, Millis freshness);

// Returns whether an instance's group can't become whole again without new orders: the instance
// itself is not among the members that it reports, a member is not listed, or a member freshly
// reports another group, epoch, model or member list.
bool isUnrecoverable(const InstanceView& instance, const DomainView& view, Millis now, Millis freshness);

} // namespace hemlockweir
