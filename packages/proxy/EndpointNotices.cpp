#include "proxy/EndpointNotices.h"

#include <absl/strings/numbers.h>
#include <cmath>

namespace hemlockweir {

EndpointNotices::EndpointNotices(Options options)
    : options_(std::move(options))
{
}

EndpointNotices::Notice& EndpointNotices::findOrCreate(const std::string& endpoint, int64_t startedAtMs)
{
    Notice& notice = notices_[endpoint];
    if (notice.startedAtMs != startedAtMs)
        notice = { .startedAtMs = startedAtMs };
    return notice;
}

bool EndpointNotices::noteLeaving(const std::string& endpoint, int64_t startedAtMs)
{
    Notice& notice = findOrCreate(endpoint, startedAtMs);
    const Millis now = options_.clock();
    const bool isNews = notice.leavingUntil <= now;
    notice.leavingUntil = now + options_.leavingTime;
    return isNews;
}

void EndpointNotices::notePause(const std::string& endpoint, int64_t startedAtMs, Millis time)
{
    Notice& notice = findOrCreate(endpoint, startedAtMs);
    notice.pausedUntil = std::max(notice.pausedUntil, options_.clock() + std::min(time, options_.maxPause));
}

Millis EndpointNotices::unavailableUntil(const std::string& endpoint, int64_t startedAtMs) const
{
    const auto found = notices_.find(endpoint);
    if (found == notices_.end() || found->second.startedAtMs != startedAtMs || found->second.until() <= options_.clock())
        return Millis(0);
    return found->second.until();
}

Millis EndpointNotices::pausedUntil(const std::string& endpoint, int64_t startedAtMs) const
{
    const auto found = notices_.find(endpoint);
    const bool isPaused = found != notices_.end() && found->second.startedAtMs == startedAtMs && found->second.leavingUntil <= options_.clock();
    return isPaused ? found->second.pausedUntil : Millis(0);
}

void EndpointNotices::sweep()
{
    const Millis now = options_.clock();
    std::erase_if(notices_, [now](const auto& entry) { return entry.second.until() <= now; });
}

std::optional<Millis> parseRetryAfter(std::string_view text)
{
    constexpr double maxSeconds = 1e6; // keeps the conversion to ms in range
    double seconds = 0;
    if (!absl::SimpleAtod(std::string(text), &seconds) || !std::isfinite(seconds) || seconds < 0)
        return std::nullopt;
    return Millis(std::llround(std::min(seconds, maxSeconds) * 1000));
}

} // namespace hemlockweir
