#include "gateway/EndpointFollower.h"

namespace hemlockweir {

EndpointFollower::EndpointFollower(boost::asio::io_context& context, Options options, const PlatformAdapter& adapter, DecisionLog& log)
    : options_(std::move(options))
    , adapter_(adapter)
    , log_(log)
    , timer_(context, [this] { read(); })
{
}

bool EndpointFollower::isSettled() const
{
    return hasRead_ && isReachable_ && options_.clock() - returnedAt_ >= options_.returnTime;
}

void EndpointFollower::read()
{
    adapter_.store.list(adapter_.endpointPrefix, false, [this](const absl::StatusOr<KvItems>& items) {
        const Millis now = options_.clock();
        if (!items.ok()) {
            if (isReachable_)
                log_.noteChange("store_lost", { { "call", "endpoints" }, { "error", std::string(items.status().message()) }, { "age_ms", std::to_string((now - readAt_).count()) } });
            isReachable_ = false;
            timer_.callAfter(options_.retryDelay);
            return;
        }
        if (!isReachable_) {
            log_.noteChange("store_regained", { { "call", "endpoints" }, { "age_ms", std::to_string((now - readAt_).count()) } });
            returnedAt_ = now;
        }
        isReachable_ = true;
        take(*items);
        readAt_ = now;
        hasRead_ = true;
        options_.onChange();
        timer_.callAfter(options_.interval);
    });
}

void EndpointFollower::take(const KvItems& items)
{
    std::map<std::string, EndpointInfo> listed;
    for (const KvItem& item : items.items) {
        absl::StatusOr<EndpointInfo> info = adapter_.decodeEndpoint(item);
        if (info.ok()) {
            listed.insert_or_assign(info->id, *std::move(info));
            continue;
        }
        uint64_t& told = unreadable_[item.key];
        if (told != item.revision)
            log_.noteChange("endpoint_unreadable", { { "key", item.key }, { "revision", std::to_string(item.revision) }, { "error", std::string(info.status().message()) } });
        told = item.revision;
    }
    const bool mayLapse = options_.clock() - returnedAt_ < options_.returnTime;
    for (const auto& [id, info] : known_) {
        if (listed.count(id) > 0)
            continue;
        if (mayLapse) {
            listed.emplace(id, info);
            continue;
        }
        log_.noteChange("endpoint_gone", { { "endpoint", id }, { "service", info.service }, { "store_revision", std::to_string(items.revision) } });
    }
    for (const auto& [id, info] : listed) {
        const auto before = known_.find(id);
        if (before == known_.end())
            log_.note("endpoint_found", { { "endpoint", id }, { "service", info.service }, { "domain", info.domain }, { "fabric", info.fabric }, { "store_revision", std::to_string(items.revision) } });
        else if (info.isLeaving && !before->second.isLeaving)
            log_.noteChange("endpoint_leaving", { { "endpoint", id }, { "service", info.service }, { "store_revision", std::to_string(items.revision) } });
    }
    known_ = std::move(listed);
    endpoints_.clear();
    for (const auto& [id, info] : known_)
        endpoints_.push_back(info);
}

} // namespace hemlockweir
