#include "proxy/ProxyConfiguration.h"

#include <algorithm>
#include <glog/logging.h>
#include <numeric>

namespace hemlockweir {

double EngineProfile::promptMsPerToken(const ReplicaModel& model) const
{
    return promptTokensPerMs > 0 ? model.timeFactor / promptTokensPerMs : 0;
}

double EngineProfile::fullBatchEventIntervalMs(const ReplicaModel& model) const
{
    return stepsPerEvent * (stepMs + stepMsPerRequest * slots) * model.timeFactor;
}

double EngineProfile::workMs(const ReplicaModel& model, uint32_t promptTokens, uint32_t answerTokens) const
{
    const double tokenMs = (stepMs + stepMsPerRequest * slots) * model.timeFactor;
    return promptTokens * promptMsPerToken(model) + answerTokens * tokenMs / std::max<uint32_t>(1, slots);
}

const ReplicaModel* EngineProfile::findModel(std::string_view name) const
{
    const auto found = std::find_if(models.begin(), models.end(), [&](const ReplicaModel& model) { return model.name == name; });
    return found == models.end() ? nullptr : &*found;
}

const EndpointService* ProxyConfiguration::findService(std::string_view name) const
{
    const auto found = std::find_if(services.begin(), services.end(), [&](const EndpointService& service) { return service.name == name; });
    return found == services.end() ? nullptr : &*found;
}

double ProxyConfiguration::estimateWorkMs(std::string_view service, std::string_view model, uint32_t promptTokens, uint32_t answerTokens) const
{
    const EndpointService* found = findService(service);
    const ReplicaModel* replicaModel = found && found->engines ? found->engines->findModel(model) : nullptr;
    return replicaModel ? found->engines->workMs(*replicaModel, promptTokens, answerTokens) : 0;
}

RouteTable::RouteTable(ProxyConfiguration configuration)
    : configuration_(std::move(configuration))
{
    for (const Route& route : configuration_.routes)
        routesByHost_[route.host].push_back(&route);
    for (auto& [host, routes] : routesByHost_)
        std::stable_sort(routes.begin(), routes.end(), [](const Route* one, const Route* other) { return one->prefix.size() > other->prefix.size(); });
    for (const Organisation& organisation : configuration_.organisations) {
        for (const std::string& key : organisation.keys)
            organisationsByKey_.emplace(key, &organisation);
    }
}

const Route* RouteTable::findRoute(std::string_view host, std::string_view target) const
{
    const auto routes = routesByHost_.find(std::string(host.substr(0, host.find(':'))));
    if (routes == routesByHost_.end())
        return nullptr;
    const std::string_view path = target.substr(0, target.find('?'));
    for (const Route* route : routes->second) {
        if (path.starts_with(route->prefix))
            return route;
    }
    return nullptr;
}

const Organisation* RouteTable::findOrganisation(std::string_view key) const
{
    const auto found = organisationsByKey_.find(std::string(key));
    return found == organisationsByKey_.end() ? nullptr : found->second;
}

const std::string& chooseService(const Route& route, uint64_t draw)
{
    CHECK(!route.destinations.empty()) << "the route has no destination";
    const uint64_t total = std::accumulate(route.destinations.begin(), route.destinations.end(), uint64_t { 0 }, [](uint64_t sum, const RouteDestination& destination) { return sum + destination.weight; });
    if (total == 0)
        return route.destinations.front().service;
    uint64_t left = draw % total;
    for (const RouteDestination& destination : route.destinations) {
        if (left < destination.weight)
            return destination.service;
        left -= destination.weight;
    }
    return route.destinations.back().service;
}

} // namespace hemlockweir
