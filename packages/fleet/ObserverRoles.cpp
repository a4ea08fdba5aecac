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

void ObserverRoles::setStale(const std::set<std::string>& soon, const std::set<std::string>& now)
{
    const Millis time = options_.clock();
    std::erase_if(heldUntil_, [&](const auto& entry) { return entry.second <= time; });
    for (const std::string& instance : soon) {
        if (rankFor(instance) < options_.observers + options_.reserves)
            hold(instance, time + options_.hold);
    }
    for (const std::string& instance : now)
        hold(instance, time + options_.hold);
}

void ObserverRoles::hold(const std::string& instance, Millis until)
{
    if (heldUntil_.size() < options_.mostHeld)
        heldUntil_.try_emplace(instance, until);
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
        return ObserverRole::Itself;
    const size_t rank = rankFor(instance);
    if (rank < options_.observers)
        return ObserverRole::Teller;
    if (!heldUntil_.contains(instance))
        return ObserverRole::None;
    return rank < options_.observers + options_.reserves ? ObserverRole::Teller : ObserverRole::Itself;
}

} // namespace hemlockweir
