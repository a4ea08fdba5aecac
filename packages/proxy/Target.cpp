#include "proxy/Target.h"

namespace hemlockweir {

std::vector<Target> findTargets(const std::vector<EndpointInfo>& endpoints, const EndpointService& service)
{
    std::vector<Target> targets;
    for (const EndpointInfo& endpoint : endpoints) {
        if (endpoint.service != service.name || endpoint.isLeaving)
            continue;
        Target target {
            .id = endpoint.id,
            .service = endpoint.service,
            .address = endpoint.address,
            .port = endpoint.port,
            .domain = endpoint.domain,
            .slots = endpoint.slots,
        };
        if (service.engines) {
            const bool isServingHead = endpoint.membership && endpoint.membership->rank == 0 && endpoint.membership->state == MemberState::Open;
            if (!isServingHead || endpoint.model.empty())
                continue;
            target.model = endpoint.model;
            target.slots = service.engines->slots;
            if (const ReplicaModel* model = service.engines->findModel(endpoint.model)) {
                target.promptMsPerToken = service.engines->promptMsPerToken(*model);
                target.eventIntervalMs = service.engines->fullBatchEventIntervalMs(*model);
            }
        }
        targets.push_back(std::move(target));
    }
    return targets;
}

} // namespace hemlockweir
