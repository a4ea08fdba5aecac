#include "fleet/ObserverRoles.h"

namespace hemlockweir {

ObserverRoles::ObserverRoles(Options options)
    : options_(std::move(options))
{
}

void ObserverRoles::setNodes(const std::vector<std::string>& nodes)
{
    if (nodes == nodes_)
        return;
    nodes_ = nodes;
    ranks_.clear();
}

void ObserverRoles::setStale(const std::set<std::string>& nearlyStale, const std::set<std::string>& stale)
{
    const Millis now = options_.clock();
    std::erase_if(fallbackUntil_, [&](const auto& entry) { return entry.second <= now; });
    for (const std::string& instance : nearlyStale) {
        if (rankFor(instance) < options_.observers + options_.standbys)
            startFallback(instance, now + options_.fallbackDuration);
    }
    for (const std::string& instance : stale)
        startFallback(instance, now + options_.fallbackDuration);
}

void ObserverRoles::startFallback(const std::string& instance, Millis until)
{
    if (fallbackUntil_.size() < options_.maxFallbacks)
        fallbackUntil_.try_emplace(instance, until);
}

size_t ObserverRoles::rankFor(const std::string& instance)
{
    const auto [rank, isNew] = ranks_.try_emplace(instance);
    if (isNew)
        rank->second = options_.rank(nodes_, instance);
    return rank->second;
}

ObserverRole ObserverRoles::roleFor(const std::string& instance)
{
    if (!isSharing())
        return ObserverRole::Local;
    const size_t rank = rankFor(instance);
    if (rank < options_.observers)
        return ObserverRole::Publisher;
    if (!fallbackUntil_.contains(instance))
        return ObserverRole::None;
    return rank < options_.observers + options_.standbys ? ObserverRole::Publisher : ObserverRole::Local;
}

} // namespace hemlockweir
