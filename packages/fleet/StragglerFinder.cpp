#include "fleet/StragglerFinder.h"

#include <algorithm>

namespace hemlockweir {

void StragglerFinder::observe(const std::string& domain, const std::vector<InstanceView>& instances, Millis now)
{
    std::map<std::string, std::vector<const InstanceView*>> byPool;
    for (const InstanceView& view : instances) {
        if (view.instance.domain == domain && view.status && view.status->stepMs > 0)
            byPool[view.instance.pool].push_back(&view);
    }
    std::map<std::string, Millis> slowSince;
    for (auto& [pool, views] : byPool) {
        if (views.size() < options_.minPeers)
            continue;
        std::sort(views.begin(), views.end(), [](const auto* a, const auto* b) { return a->status->stepMs < b->status->stepMs; });
        const double median = views[views.size() / 2]->status->stepMs;
        for (const InstanceView* view : views) {
            if (view->status->stepMs <= median * options_.factor)
                continue;
            const auto known = slowSince_.find(view->instance.id);
            slowSince[view->instance.id] = known == slowSince_.end() ? now : known->second;
        }
    }
    slowSince_ = std::move(slowSince);
}

bool StragglerFinder::isStraggler(const std::string& instance, Millis now) const
{
    const auto found = slowSince_.find(instance);
    return found != slowSince_.end() && now - found->second >= options_.minDuration;
}

} // namespace hemlockweir
