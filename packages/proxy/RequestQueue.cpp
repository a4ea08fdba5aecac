#include "proxy/RequestQueue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace hemlockweir {

// Starts that the last seconds must have seen, decayed, for a start rate to be known.
static constexpr double minStarts = 0.5;
static constexpr double maxStartsPerSecond = 1000;
// Seconds in which an organisation's requests must have waited for the lack of starts to count.
static constexpr double minWaitingSeconds = 0.5;
// Seconds of waiting, decayed, below which an idle organisation's share is forgotten.
static constexpr double forgottenSeconds = 0.005;
// Part of the measured start rate that each request without a wait makes forget: slots are free again.
static constexpr double forgottenPerFreeSlot = 0.1;

// What the order compares, the smallest first. Lateness includes the expected time to first byte: if the queue was ordered
// by objective alone, under overload each request would get its slot just too late.
struct RequestQueue::Rank {
    int priority = 0;
    bool isLate = false;
    bool isDelayed = false; // prompts that wait at each target would make it late
    double use = 0; // ms of engine time, of its organisation; 0 where that does not count
    Millis objectiveAt { 0 };

    auto operator<=>(const Rank&) const = default;

    // Returns whether two requests differ only by use and objective.
    bool isSameClass(const Rank& other) const { return std::tie(priority, isLate, isDelayed) == std::tie(other.priority, other.isLate, other.isDelayed); }
};

static double useOf(const PlacementRequest& request, const QueueMoment& moment)
{
    return moment.shares ? moment.shares->use(request.organisationKey, moment.now) : 0;
}

// Returns whether the request could be on time but for the prompts that wait at each target with a free slot. Others whose
// objective is later, or whose prompt is shorter, may still be on time there.
static bool isDelayedByPrompts(const PlacementRequest& request, const QueueMoment& moment)
{
    const double expectedMs = moment.firstByteMs + moment.promptWaitMs + moment.promptMsPerToken * request.promptTokens;
    return moment.promptWaitMs > 0 && !request.hasResponseStarted && request.objectiveAt <= moment.now + Millis(static_cast<int64_t>(expectedMs));
}

RequestQueue::Rank RequestQueue::rankOf(const PlacementRequest& request, const QueueMoment& moment)
{
    Rank rank { .priority = request.priority, .isLate = isLate(request, moment), .objectiveAt = request.objectiveAt };
    rank.isDelayed = !rank.isLate && isDelayedByPrompts(request, moment);
    if (!rank.isLate && !request.hasResponseStarted)
        rank.use = useOf(request, moment);
    return rank;
}

bool RequestQueue::isLate(const PlacementRequest& request, const QueueMoment& moment)
{
    return request.objectiveAt <= moment.now + Millis(static_cast<int64_t>(moment.firstByteMs));
}

Millis RequestQueue::latestStart(const PlacementRequest& request, const QueueMoment& moment, double maxWaitObjectives)
{
    if (request.hasResponseStarted)
        return request.deadlineAt;
    if (moment.firstByteMs > 0)
        return std::min(request.deadlineAt, std::max(request.arrivedAt, request.objectiveAt - Millis(static_cast<int64_t>(moment.firstByteMs))));
    const auto objective = static_cast<double>((request.objectiveAt - request.arrivedAt).count());
    const Millis maxWait(static_cast<int64_t>(objective * maxWaitObjectives));
    return std::min(request.arrivedAt + maxWait, request.deadlineAt);
}

// Counts the time since the last call if requests waited in it. Call before a change of the waiting requests.
void RequestQueue::noteWaiting(Millis now)
{
    const double seconds = std::chrono::duration<double>(now - std::exchange(waitingNotedAt_, now)).count();
    if (waiting_.empty() || seconds <= 0)
        return;
    waitingSeconds_.add(seconds, now);
    for (auto& [organisation, share] : shares_) {
        if (share.waiting > 0)
            share.waitingSeconds.add(seconds, now);
    }
}

void RequestQueue::insert(PlacementRequest request)
{
    ++shares_[request.organisationKey].waiting;
    waiting_.push_back(std::move(request));
}

PlacementRequest RequestQueue::extract(std::list<PlacementRequest>::iterator at)
{
    --shares_.at(at->organisationKey).waiting;
    PlacementRequest request = std::move(*at);
    waiting_.erase(at);
    return request;
}

void RequestQueue::push(PlacementRequest request, Millis now)
{
    noteWaiting(now);
    insert(std::move(request));
}

bool RequestQueue::remove(uint64_t id, Millis now)
{
    const auto found = std::find_if(waiting_.begin(), waiting_.end(), [id](const PlacementRequest& request) { return request.id == id; });
    if (found == waiting_.end())
        return false;
    noteWaiting(now);
    extract(found);
    return true;
}

PlacementRequest RequestQueue::takeNext(const QueueMoment& moment)
{
    noteWaiting(moment.now);
    auto next = waiting_.begin();
    Rank first = rankOf(*next, moment);
    for (auto it = std::next(next); it != waiting_.end(); ++it) {
        if (Rank rank = rankOf(*it, moment); rank < first) {
            first = rank;
            next = it;
        }
    }
    return extract(next);
}

std::vector<PlacementRequest> RequestQueue::takeExpired(const QueueMoment& moment, double maxWaitObjectives)
{
    noteWaiting(moment.now);
    std::vector<PlacementRequest> expired;
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        if (latestStart(*it, moment, maxWaitObjectives) > moment.now) {
            ++it;
            continue;
        }
        expired.push_back(extract(it++));
    }
    // Organisations that are idle or no longer configured.
    std::erase_if(shares_, [&](const auto& entry) { return entry.second.waiting == 0 && entry.second.waitingSeconds.at(moment.now) < forgottenSeconds; });
    return expired;
}

std::optional<PlacementRequest> RequestQueue::takeLeastValuable(const PlacementRequest& request, const QueueMoment& moment)
{
    noteWaiting(moment.now);
    const auto valueOf = [&](const PlacementRequest& of) { return std::tuple(of.priority, useOf(of, moment), of.objectiveAt); };
    auto least = waiting_.end();
    auto leastValue = valueOf(request);
    for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
        if (const auto value = valueOf(*it); !it->hasResponseStarted && value > leastValue) {
            least = it;
            leastValue = value;
        }
    }
    if (least == waiting_.end())
        return std::nullopt;
    return extract(least);
}

size_t RequestQueue::countAhead(const PlacementRequest& request, const QueueMoment& moment) const
{
    const Rank rank = rankOf(request, moment);
    return static_cast<size_t>(std::count_if(waiting_.begin(), waiting_.end(), [&](const PlacementRequest& other) { return rankOf(other, moment) <= rank; }));
}

double RequestQueue::expectAhead(const PlacementRequest& request, const QueueMoment& moment) const
{
    struct Backlog {
        double use = 0;
        double workMs = 0; // of all its waiting requests
        size_t waiting = 0;
    };
    if (!moment.shares || !moment.shares->isActive())
        return static_cast<double>(countAhead(request, moment));
    const Rank rank = rankOf(request, moment);
    std::map<uint32_t, Backlog> others;
    double ahead = 0;
    double ownWorkMs = 0; // of the requests of the same organisation that go first
    for (const PlacementRequest& other : waiting_) {
        const Rank otherRank = rankOf(other, moment);
        const bool isOwn = other.organisationKey == request.organisationKey;
        if (isOwn || other.hasResponseStarted || rank.isLate || !rank.isSameClass(otherRank)) {
            ahead += otherRank <= rank ? 1 : 0;
            ownWorkMs += isOwn && otherRank <= rank ? other.workMs : 0;
            continue;
        }
        Backlog& backlog = others[other.organisationKey];
        backlog.use = otherRank.use;
        backlog.workMs += other.workMs;
        ++backlog.waiting;
    }
    const double usedAtTurn = rank.use + ownWorkMs * moment.nodes;
    for (const auto& [key, other] : others)
        ahead += turnsBefore(usedAtTurn, other.use, std::max(1.0, other.workMs * moment.nodes / static_cast<double>(other.waiting)), other.waiting);
    return ahead;
}

size_t RequestQueue::countOf(uint32_t organisation) const
{
    const auto found = shares_.find(organisation);
    return found == shares_.end() ? 0 : found->second.waiting;
}

bool RequestQueue::isShareTooSmall(const PlacementRequest& request, const QueueMoment& moment, Millis time) const
{
    const auto found = shares_.find(request.organisationKey);
    if (found == shares_.end() || found->second.waiting == 0)
        return false;
    const Share& share = found->second;
    const double starts = share.starts.at(moment.now);
    const double seconds = share.waitingSeconds.at(moment.now) + std::chrono::duration<double>(moment.now - waitingNotedAt_).count();
    if (starts < minStarts && seconds < minWaitingSeconds)
        return false;
    const Rank rank = rankOf(request, moment);
    const auto ahead = std::count_if(waiting_.begin(), waiting_.end(), [&](const PlacementRequest& other) { return other.organisationKey == request.organisationKey && rankOf(other, moment) <= rank; });
    return static_cast<double>(ahead) * seconds > starts * std::max(0.0, std::chrono::duration<double>(time).count());
}

void RequestQueue::noteStart(uint32_t organisation, Millis now)
{
    shares_[organisation].starts.add(1, now);
    starts_.add(1, now);
}

void RequestQueue::noteFreeSlot(Millis now)
{
    starts_.add(-forgottenPerFreeSlot * starts_.at(now), now);
    waitingSeconds_.add(-forgottenPerFreeSlot * waitingSeconds_.at(now), now);
    for (auto& [organisation, share] : shares_) {
        share.starts.add(-forgottenPerFreeSlot * share.starts.at(now), now);
        share.waitingSeconds.add(-forgottenPerFreeSlot * share.waitingSeconds.at(now), now);
    }
}

double RequestQueue::startsPerSecond(Millis now) const
{
    const double starts = starts_.at(now);
    if (starts < minStarts)
        return 0;
    const double current = waiting_.empty() ? 0 : std::chrono::duration<double>(now - waitingNotedAt_).count();
    const double seconds = waitingSeconds_.at(now) + current;
    return seconds * maxStartsPerSecond <= starts ? maxStartsPerSecond : starts / seconds;
}

double RequestQueue::noteRefusal(Millis now)
{
    refusals_.add(1, now);
    return refusals_.at(now);
}

} // namespace hemlockweir
