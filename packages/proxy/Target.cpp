#include "proxy/Target.h"

#include <set>

namespace hemlockweir {

using GroupKey = std::pair<std::string, uint64_t>; // name and epoch

// Returns the groups whose members are in more than one fabric domain.
static std::set<GroupKey> findSpanningGroups(const std::vector<EndpointInfo>& endpoints)
{
    std::map<GroupKey, const std::string*> fabrics;
    std::set<GroupKey> spanning;
    for (const EndpointInfo& endpoint : endpoints) {
        if (!endpoint.membership)
            continue;
        const GroupKey key { endpoint.membership->group, endpoint.membership->epoch };
        if (*fabrics.try_emplace(key, &endpoint.fabric).first->second != endpoint.fabric)
            spanning.insert(key);
    }
    return spanning;
}

// Returns the groups with a member in an evacuated failure domain.
static std::set<GroupKey> findEvacuatedGroups(const std::vector<EndpointInfo>& endpoints)
{
    std::set<GroupKey> evacuated;
    for (const EndpointInfo& endpoint : endpoints) {
        if (endpoint.isEvacuated && endpoint.membership)
            evacuated.insert({ endpoint.membership->group, endpoint.membership->epoch });
    }
    return evacuated;
}

std::vector<Target> findTargets(const std::vector<EndpointInfo>& endpoints, const EndpointService& service)
{
    std::vector<Target> targets;
    const std::set<GroupKey> spanning = service.engines && service.engines->spanningTimeFactor > 1 ? findSpanningGroups(endpoints) : std::set<GroupKey>();
    const std::set<GroupKey> evacuated = findEvacuatedGroups(endpoints);
    for (const EndpointInfo& endpoint : endpoints) {
        if (endpoint.service != service.name || endpoint.isLeaving || endpoint.isEvacuated)
            continue;
        Target target {
            .id = endpoint.id,
            .service = endpoint.service,
            .address = endpoint.address,
            .port = endpoint.port,
            .startedAtMs = endpoint.startedAtMs,
            .domain = endpoint.domain,
            .slots = endpoint.slots,
        };
        if (service.limitsColdEndpoints()) {
            target.coldPerSecond = service.coldPerSecond;
            target.maxColdTime = service.coldTime;
            target.coldUntil = endpoint.coldUntil(service.coldTime);
        }
        if (service.engines) {
            const bool isServingHead = endpoint.membership && endpoint.membership->rank == 0 && endpoint.membership->state == MemberState::Open;
            if (!isServingHead || endpoint.model.empty() || evacuated.count({ endpoint.membership->group, endpoint.membership->epoch }) > 0)
                continue;
            target.model = endpoint.model;
            target.slots = service.engines->slots;
            target.memoryTokens = service.engines->memoryTokens;
            if (spanning.count({ endpoint.membership->group, endpoint.membership->epoch }) > 0)
                target.timeFactor = service.engines->spanningTimeFactor;
            if (const ReplicaModel* model = service.engines->findModel(endpoint.model)) {
                target.promptMsPerToken = service.engines->promptMsPerToken(*model) * target.timeFactor;
                target.eventIntervalMs = service.engines->fullBatchEventIntervalMs(*model) * target.timeFactor;
            }
        }
        targets.push_back(std::move(target));
    }
    return targets;
}

} // namespace hemlockweir
