#include "proxy/EndpointLimits.h"

#include "base/Rendezvous.h"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <cmath>
#include <utility>

namespace hemlockweir {

// Unused requests that add up: one, and those of this time. Requests are placed at a timer's intervals.
static constexpr double burstSeconds = 0.1;
// The same for cold endpoints: with the one request, enough to keep the rate at the intervals of the timer (20 ms).
static constexpr double coldBurstSeconds = 0.05;
// Largest debt, in seconds of the rate beyond one request for each user.
static constexpr double maxDebtSeconds = 1;
// An endpoint with a lower limit still gets requests at this rate: only an answer tells that the limit has ended.
static constexpr double minPerSecond = 0.25;
// ms for which a change is in each message to the other nodes: some may be lost.
static constexpr Millis newsTime { 500 };
// ms between two reports of a limit that does not change, for nodes that start or missed it.
static constexpr Millis reportInterval { 1000 };
// ms for which the end of a limit is remembered and reported.
static constexpr Millis endedTime { 10000 };
// ms after the last answer that named it, until a limit is forgotten by nodes that don't use the endpoint, or don't know it any more.
// They would not learn of the end by themselves.
static constexpr Millis unconfirmedTime { 60000 };

EndpointLimits::EndpointLimits(Options options)
    : options_(std::move(options))
    , nodes_({ options_.node })
{
}

void EndpointLimits::setPeers(std::vector<std::string> nodes)
{
    const Millis now = options_.clock();
    for (std::string& node : nodes)
        listedAt_[std::move(node)] = now;
    listedAt_.erase(options_.node);
    std::erase_if(listedAt_, [&](const auto& entry) { return now - entry.second > options_.unlistedTime; });
    std::vector<std::string> all { options_.node };
    all.reserve(listedAt_.size() + 1);
    for (const auto& [node, listedAt] : listedAt_)
        all.push_back(node);
    std::sort(all.begin(), all.end());
    if (all == nodes_)
        return;
    nodes_ = std::move(all);
    std::erase_if(heardAt_, [this](const auto& entry) { return !std::binary_search(nodes_.begin(), nodes_.end(), entry.first); });
    for (auto& [target, limit] : limits_) {
        refill(limit);
        refillCold(limit);
        assignSharers(target, limit);
    }
}

void EndpointLimits::setOwnListing(std::optional<Millis> listedAt)
{
    for (auto& [target, limit] : limits_)
        refillCold(limit);
    if (!listedAt)
        return;
    if (!listedSince_ || *listedAt - ownListedAt_ > options_.ownListingTime)
        listedSince_ = *listedAt;
    ownListedAt_ = *listedAt;
}

bool EndpointLimits::usesColdEndpoints() const
{
    const Millis now = options_.clock();
    return listedSince_ && now - *listedSince_ >= options_.joinTime && now - ownListedAt_ <= options_.ownListingTime;
}

void EndpointLimits::assignSharers(uint32_t target, Limit& limit) const
{
    limit.sharers = pickByRendezvous(nodes_, std::to_string(target), options_.maxSharers);
}

bool EndpointLimits::isSharer(const Limit& limit) const
{
    return std::find(limit.sharers.begin(), limit.sharers.end(), options_.node) != limit.sharers.end();
}

// Returns the fraction of an endpoint's rate that is left after the parts of the sharers that were not heard of lately.
double EndpointLimits::heardFraction(const Limit& limit) const
{
    const Millis now = options_.clock();
    const auto silent = std::count_if(limit.sharers.begin(), limit.sharers.end(), [&](const std::string& node) {
        const auto heard = heardAt_.find(node);
        return node != options_.node && (heard == heardAt_.end() || now - heard->second > options_.peerTimeout);
    });
    return 1 - static_cast<double>(silent) / static_cast<double>(limit.sharers.size());
}

void EndpointLimits::refill(Limit& limit) const
{
    const Millis now = options_.clock();
    const double seconds = std::chrono::duration<double>(now - std::exchange(limit.refilledAt, now)).count();
    const double capacity = 1 + limit.perSecond * burstSeconds;
    limit.tokens = std::min(capacity, limit.tokens + seconds * limit.perSecond * heardFraction(limit));
}

// Refills the requests that this node may send to a cold endpoint. A node that doesn't use it begins with none later.
void EndpointLimits::refillCold(Limit& limit) const
{
    const Millis now = options_.clock();
    const double seconds = std::chrono::duration<double>(now - std::exchange(limit.cold.refilledAt, now)).count();
    const double part = coldPart(limit);
    const bool isUsed = usesColdEndpoints() && isSharer(limit);
    limit.cold.tokens = isUsed ? std::min(1 + part * coldBurstSeconds, limit.cold.tokens + seconds * part) : 0;
}

EndpointLimits::Limit* EndpointLimits::findCold(uint32_t target, int64_t startedAtMs)
{
    const auto found = limits_.find(target);
    const bool isFound = found != limits_.end() && found->second.startedAtMs >= startedAtMs && isCold(found->second);
    return isFound ? &found->second : nullptr;
}

bool EndpointLimits::noteCold(uint32_t target, int64_t startedAtMs, double perSecond, Millis until)
{
    const Millis now = options_.clock();
    const auto known = limits_.find(target);
    const bool isOutdated = known != limits_.end() && known->second.startedAtMs > startedAtMs;
    if (isOutdated || perSecond <= 0 || until <= now)
        return false;
    Limit& limit = findOrCreate(target, startedAtMs);
    refillCold(limit);
    const bool isNews = !isCold(limit);
    if (isNews)
        limit.cold.tokens = 0;
    limit.cold.perSecond = perSecond;
    limit.cold.until = std::max(limit.cold.until, until);
    return isNews;
}

size_t EndpointLimits::coldCount() const
{
    return static_cast<size_t>(std::count_if(limits_.begin(), limits_.end(), [this](const auto& entry) { return isCold(entry.second); }));
}

EndpointLimits::Limit* EndpointLimits::findActive(uint32_t target, int64_t startedAtMs)
{
    const auto found = limits_.find(target);
    // The list may still show an earlier incarnation.
    const bool isActive = found != limits_.end() && found->second.startedAtMs >= startedAtMs && found->second.perSecond > 0;
    return isActive ? &found->second : nullptr;
}

EndpointLimits::Limit& EndpointLimits::findOrCreate(uint32_t target, int64_t startedAtMs)
{
    Limit& limit = limits_[target];
    if (limit.sharers.empty() || limit.startedAtMs != startedAtMs) {
        limit = { .startedAtMs = startedAtMs, .refilledAt = options_.clock() };
        assignSharers(target, limit);
    }
    return limit;
}

bool EndpointLimits::noteAnswer(uint32_t target, int64_t startedAtMs, std::optional<double> perSecond, Millis sentAt)
{
    const Millis now = options_.clock();
    Limit* active = findActive(target, startedAtMs);
    const auto known = limits_.find(target);
    if (known != limits_.end() && known->second.startedAtMs > startedAtMs)
        return false;
    if (!perSecond) {
        if (!active || sentAt <= active->observedAt)
            return false;
        active->perSecond = 0;
        active->observedAt = now;
        active->isFirstHand = true;
        active->changedAt = now;
        return true;
    }
    Limit& limit = findOrCreate(target, startedAtMs);
    refill(limit);
    const bool isChange = std::exchange(limit.perSecond, std::max(minPerSecond, *perSecond)) != std::max(minPerSecond, *perSecond);
    limit.observedAt = now;
    const bool isNews = !std::exchange(limit.isFirstHand, true);
    if (isChange || isNews)
        limit.changedAt = now;
    return isChange;
}

void EndpointLimits::noteSent(uint32_t target)
{
    const auto found = limits_.find(target);
    if (found == limits_.end())
        return;
    Limit& limit = found->second;
    if (isCold(limit)) {
        refillCold(limit);
        limit.cold.tokens -= 1;
        ++coldSends_;
    }
    if (limit.perSecond <= 0)
        return;
    refill(limit);
    limit.tokens -= 1;
    ++limit.sent;
    limit.changedAt = options_.clock();
}

void EndpointLimits::applyReports(const std::string& node, const std::vector<LimitReport>& reports)
{
    heardAt_[node] = options_.clock();
    for (const LimitReport& report : reports)
        applyReport(node, report);
}

void EndpointLimits::applyReport(const std::string& node, const LimitReport& report)
{
    const Millis observedAt = options_.clock() - report.age;
    const auto known = limits_.find(report.target);
    const bool isUnknown = known == limits_.end() || known->second.startedAtMs != report.startedAtMs;
    const bool isOlder = known != limits_.end() && known->second.startedAtMs > report.startedAtMs;
    if (isOlder || (isUnknown && report.perSecond <= 0))
        return;
    Limit& limit = findOrCreate(report.target, report.startedAtMs);
    refill(limit);
    if (observedAt > limit.observedAt) {
        limit.perSecond = report.perSecond <= 0 ? 0 : std::max(minPerSecond, report.perSecond);
        limit.observedAt = observedAt;
    }
    uint64_t& before = limit.sentByPeer[node];
    // A count that has become smaller began anew, with a limit that this node knew of for longer.
    const uint64_t sent = report.sent >= before ? report.sent - before : report.sent;
    before = report.sent;
    const double maxDebt = static_cast<double>(limit.sharers.size()) + limit.perSecond * maxDebtSeconds;
    limit.tokens = std::max(limit.tokens - static_cast<double>(sent), std::min(limit.tokens, -maxDebt));
}

std::vector<LimitReport> EndpointLimits::takeReports()
{
    const Millis now = options_.clock();
    std::vector<LimitReport> reports;
    for (auto& [target, limit] : limits_) {
        const bool isNews = now - limit.changedAt < newsTime;
        const bool isDue = now - limit.reportedAt >= reportInterval;
        if ((!limit.isFirstHand && limit.sent == 0) || !(isNews || isDue))
            continue;
        limit.reportedAt = now;
        reports.push_back({ .target = target, .startedAtMs = limit.startedAtMs, .perSecond = limit.perSecond, .age = now - limit.observedAt, .sent = limit.sent });
    }
    return reports;
}

double EndpointLimits::allowance(uint32_t target, int64_t startedAtMs)
{
    return std::min(namedAllowance(target, startedAtMs), coldAllowance(target, startedAtMs));
}

double EndpointLimits::coldAllowance(uint32_t target, int64_t startedAtMs)
{
    Limit* limit = findCold(target, startedAtMs);
    if (!limit)
        return unlimited;
    if (!usesColdEndpoints() || !isSharer(*limit))
        return notShared;
    refillCold(*limit);
    return limit->cold.tokens;
}

double EndpointLimits::namedAllowance(uint32_t target, int64_t startedAtMs)
{
    Limit* limit = findActive(target, startedAtMs);
    if (!limit)
        return unlimited;
    if (!isSharer(*limit))
        return notShared;
    refill(*limit);
    return limit->tokens;
}

std::optional<Millis> EndpointLimits::untilAllowed(uint32_t target, int64_t startedAtMs)
{
    const std::optional<Millis> wait = untilNamedAllowed(target, startedAtMs);
    return wait ? std::optional(std::max(*wait, untilColdAllowed(target, startedAtMs))) : std::nullopt;
}

// Returns the time in ms until the cold time lets this node send a request; at its end, any node may.
Millis EndpointLimits::untilColdAllowed(uint32_t target, int64_t startedAtMs)
{
    const double tokens = coldAllowance(target, startedAtMs);
    if (tokens >= 1)
        return Millis(0);
    const Limit& limit = *findCold(target, startedAtMs);
    const Millis untilEnd = limit.cold.until - options_.clock();
    const double missingMs = 1000 * (1 - tokens) / coldPart(limit);
    return missingMs >= static_cast<double>(untilEnd.count()) ? untilEnd : Millis(std::llround(missingMs));
}

std::optional<Millis> EndpointLimits::untilNamedAllowed(uint32_t target, int64_t startedAtMs)
{
    Limit* limit = findActive(target, startedAtMs);
    if (!limit)
        return Millis(0);
    if (!isSharer(*limit))
        return std::nullopt;
    refill(*limit);
    const double missing = std::max(0.0, 1 - limit->tokens);
    return Millis(std::llround(1000 * missing / (limit->perSecond * heardFraction(*limit))));
}

void EndpointLimits::sweep(const std::function<bool(uint32_t)>& isKnown)
{
    const Millis now = options_.clock();
    std::erase_if(limits_, [&](const auto& entry) {
        const Limit& limit = entry.second;
        const Millis age = now - limit.observedAt;
        if (isCold(limit))
            return false;
        return limit.perSecond <= 0 ? age > endedTime : age > unconfirmedTime && !(isSharer(limit) && isKnown(entry.first));
    });
}

std::optional<double> parseRequestLimit(std::string_view text)
{
    double perSecond = 0;
    if (!absl::SimpleAtod(std::string(text), &perSecond) || !std::isfinite(perSecond) || perSecond < 0)
        return std::nullopt;
    return perSecond;
}

std::optional<Millis> parseColdTime(std::string_view text)
{
    constexpr double maxMs = 1e9; // keeps sums with it in range; each service has a lower bound
    double ms = 0;
    if (!absl::SimpleAtod(std::string(text), &ms) || !std::isfinite(ms) || ms < 0)
        return std::nullopt;
    return Millis(std::llround(std::min(ms, maxMs)));
}

} // namespace hemlockweir
