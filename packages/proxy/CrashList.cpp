#include "proxy/CrashList.h"

#include "base/StableHash.h"
#include "proxy/Placement.h"

#include <algorithm>

namespace hemlockweir {

// Two reports about the same endpoint within this time refer to the same crash, since a restart takes longer.
static constexpr Millis sameCrashWindow { 1000 };

CrashList::CrashList(Options options)
    : options_(std::move(options))
{
}

uint64_t CrashList::fingerprint(std::string_view caller, std::string_view method, std::string_view target, std::string_view body)
{
    uint64_t hash = stableHashStart;
    for (const std::string_view part : { caller, method, target, body }) {
        hash = extendStableHash(hash, part);
        hash = extendStableHash(hash, std::string_view("\0", 1));
    }
    return hash;
}

CrashList::Request& CrashList::findOrCreate(uint64_t request)
{
    if (requests_.size() >= options_.maxRequests && requests_.count(request) == 0)
        requests_.erase(std::min_element(requests_.begin(), requests_.end(), [](const auto& one, const auto& other) { return one.second.updatedAt < other.second.updatedAt; }));
    Request& record = requests_[request];
    record.updatedAt = options_.clock();
    return record;
}

void CrashList::noteConnectionLost(uint64_t request, const std::string& endpoint)
{
    findOrCreate(request).unconfirmed.push_back({ .endpoint = hashTarget(endpoint), .at = options_.clock() });
    if (options_.onConnectionLost)
        options_.onConnectionLost(endpoint);
}

void CrashList::noteEndpointDown(const std::string& endpoint)
{
    const uint32_t hash = hashTarget(endpoint);
    const Millis earliest = options_.clock() - options_.confirmationWindow;
    for (auto& [id, request] : requests_) {
        const auto found = std::find_if(request.unconfirmed.begin(), request.unconfirmed.end(), [&](const Crash& lost) { return lost.endpoint == hash && lost.at >= earliest; });
        if (found == request.unconfirmed.end())
            continue;
        addCrash(request, hash, found->at);
        std::erase_if(request.unconfirmed, [hash](const Crash& lost) { return lost.endpoint == hash; });
        if (options_.onCrash)
            options_.onCrash(id, hash);
    }
}

void CrashList::notePeerCrash(uint64_t request, uint32_t endpoint)
{
    addCrash(findOrCreate(request), endpoint, options_.clock());
}

void CrashList::addCrash(Request& request, uint32_t endpoint, Millis at)
{
    const bool isKnown = std::any_of(request.crashes.begin(), request.crashes.end(), [&](const Crash& crash) {
        return crash.endpoint == endpoint && std::chrono::abs(crash.at - at) < sameCrashWindow;
    });
    if (!isKnown)
        request.crashes.push_back({ .endpoint = endpoint, .at = at });
    request.updatedAt = options_.clock();
}

void CrashList::noteAnswered(uint64_t request)
{
    requests_.erase(request);
}

bool CrashList::isBlocked(uint64_t request) const
{
    const auto found = requests_.find(request);
    return found != requests_.end() && found->second.crashes.size() >= options_.crashThreshold;
}

void CrashList::sweep()
{
    const Millis now = options_.clock();
    for (auto& [id, request] : requests_)
        std::erase_if(request.unconfirmed, [&](const Crash& lost) { return now - lost.at > options_.confirmationWindow; });
    std::erase_if(requests_, [&](const auto& entry) {
        const Request& request = entry.second;
        const bool isSuspect = !request.crashes.empty() || !request.unconfirmed.empty();
        return !isSuspect || now - request.updatedAt > options_.retention;
    });
}

} // namespace hemlockweir
