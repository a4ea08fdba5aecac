#include "support/SoakChecks.h"

#include "http/StatusCodes.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <limits>
#include <set>

namespace hemlockweir {

// Time in which all gateways must know an endpoint's limit after one of its answers named it, in ms.
static constexpr qint64 limitKnownMs = 3000;
// A limited endpoint may get this many times what its limit allows in a window, and some requests more.
static constexpr double limitFactor = 1.5;
static constexpr size_t limitExtra = 5;

static QString describe(const SoakRequest& request)
{
    return QString::fromStdString(request.id + " " + request.path + " at " + request.gateway + " sent " + std::to_string(request.sentAt) + " status " + std::to_string(request.status));
}

SoakEffects readEffects(GatewayCluster& cluster)
{
    SoakEffects all;
    for (const std::string& endpoint : cluster.endpoints()) {
        std::vector<SoakEffect>& effects = all[endpoint];
        for (const QJsonObject& fields : cluster.processes().effects(endpoint, {})) {
            SoakEffect effect { .endpoint = endpoint, .at = static_cast<qint64>(fields["at"].toDouble()), .what = fields["what"].toString().toStdString(), .request = fields["request"].toString().toStdString(), .group = fields["group"].toString().toStdString(), .epoch = static_cast<qint64>(fields["epoch"].toDouble()), .model = fields["model"].toString().toStdString(), .limit = fields["limit"].toDouble() };
            for (const QJsonValue& member : fields["members"].toArray())
                effect.members.push_back(member.toString().toStdString());
            effects.push_back(std::move(effect));
        }
    }
    return all;
}

static std::map<std::string, int> countRuns(const SoakEffects& effects)
{
    std::map<std::string, int> runs;
    for (const auto& [endpoint, list] : effects) {
        for (const SoakEffect& effect : list) {
            if (effect.what == "run")
                ++runs[effect.request];
        }
    }
    return runs;
}

QStringList checkAnswers(const std::vector<SoakRequest>& requests)
{
    QStringList violations;
    for (const SoakRequest& request : requests) {
        if (request.status != statusOk)
            continue;
        const std::string whole = request.expectedBody();
        const bool isCorrect = request.isComplete ? request.received == whole : whole.starts_with(request.received);
        if (!isCorrect)
            violations << describe(request) + (request.isComplete ? " whole" : " cut") + ": got \"" + QString::fromStdString(request.received) + "\" instead of \"" + QString::fromStdString(whole) + "\"";
    }
    return violations;
}

QStringList checkRunsOnce(const std::vector<SoakRequest>& requests, const SoakEffects& effects)
{
    QStringList violations;
    const std::map<std::string, int> runs = countRuns(effects);
    for (const SoakRequest& request : requests) {
        const auto found = runs.find(request.id);
        if (request.isOrder() && found != runs.end() && found->second > 1)
            violations << describe(request) + ": ran " + QString::number(found->second) + " times";
    }
    return violations;
}

QStringList checkRefusals(const std::vector<SoakRequest>& requests, const SoakEffects& effects)
{
    QStringList violations;
    const std::map<std::string, int> runs = countRuns(effects);
    for (const SoakRequest& request : requests) {
        const bool isReportedNotRun = request.status == statusUnavailable || request.status == statusTooMany || request.status == statusRequestTimeout || request.status == statusMisdirected;
        if (isReportedNotRun && runs.count(request.id) > 0)
            violations << describe(request) + ": refused as not run, but ran";
    }
    return violations;
}

// Returns whether an engine was ready before a run, with the run's group name, epoch and member list.
static bool wasReady(const std::vector<SoakEffect>& effects, const SoakEffect& run)
{
    return std::any_of(effects.begin(), effects.end(), [&](const SoakEffect& effect) {
        return effect.what == "ready" && effect.isSameGroup(run) && effect.members == run.members && effect.at <= run.at;
    });
}

QStringList checkWholeReplicas(const SoakEffects& effects)
{
    QStringList violations;
    for (const auto& [endpoint, list] : effects) {
        for (const SoakEffect& run : list) {
            if (run.what != "run" || run.group.empty())
                continue;
            const size_t size = run.model == "large" ? 3 : 2;
            const bool isWhole = run.members.size() == size && std::all_of(run.members.begin(), run.members.end(), [&](const std::string& member) { return wasReady(effects.at(member), run); });
            if (!isWhole)
                violations << QString::fromStdString(run.request + " began at " + endpoint + " in " + run.group + ", which is not whole, at " + std::to_string(run.at));
        }
    }
    return violations;
}

static bool wasDown(const std::string& process, qint64 at, const std::vector<FaultInterval>& intervals)
{
    return std::any_of(intervals.begin(), intervals.end(), [&](const FaultInterval& interval) {
        return interval.what == process && interval.kind == "kill" && interval.from <= at && (interval.until == 0 || interval.until >= at);
    });
}

// Returns whether an effect tells of the state of a replica.
static bool isGroupEffect(const SoakEffect& effect)
{
    static const std::set<std::string> others { "run", "arrived", "faults", "leaving", "limited", "unlimited" };
    return others.count(effect.what) == 0;
}

// Returns the last change of an engine's group membership before a time; null if it was in no group.
static const SoakEffect* lastGroupEffect(const std::vector<SoakEffect>& effects, qint64 at)
{
    const SoakEffect* last = nullptr;
    for (const SoakEffect& effect : effects) {
        if (effect.at >= at)
            break;
        if (isGroupEffect(effect))
            last = &effect;
    }
    const bool isMember = last && last->what != "left" && last->what != "started";
    return isMember ? last : nullptr;
}

QStringList checkOneReplica(const SoakEffects& effects, const std::vector<FaultInterval>& intervals)
{
    QStringList violations;
    for (const auto& [endpoint, list] : effects) {
        for (const SoakEffect& join : list) {
            if (join.what != "joined")
                continue;
            const SoakEffect* previous = lastGroupEffect(list, join.at);
            if (!previous || previous->isSameGroup(join) || previous->members.empty())
                continue;
            const std::string& head = previous->members.front();
            const SoakEffect* headEffect = lastGroupEffect(effects.at(head), join.at);
            const bool isServing = headEffect && headEffect->isSameGroup(*previous) && (headEffect->what == "open" || headEffect->what == "closing");
            if (isServing && !wasDown(head, join.at, intervals))
                violations << QString::fromStdString(absl::StrCat(endpoint, " joined ", join.group, " at ", join.at, " while ", head, " served ", previous->group));
        }
    }
    return violations;
}

QStringList checkDeadlines(const std::vector<SoakRequest>& requests, const std::vector<FaultInterval>& intervals)
{
    QStringList violations;
    for (const SoakRequest& request : requests) {
        if (request.hasTimedOut && !hadFault(intervals, request.gateway, request.sentAt - 1, request.endedAt))
            violations << describe(request) + ": not finished by its deadline";
    }
    return violations;
}

QStringList checkVersions(const std::vector<SoakRequest>& requests, const std::vector<FaultInterval>& intervals)
{
    QStringList violations;
    struct Known {
        uint64_t version = 0;
        qint64 at = 0; // when a caller observed it
    };
    std::map<std::string, Known> known; // by gateway
    for (const SoakRequest& request : requests) {
        if (!request.path.starts_with("/v") || (request.status != statusOk && request.status != statusNotFound))
            continue;
        const uint64_t version = std::stoull(request.path.substr(2));
        Known& newest = known[request.gateway];
        if (request.status == statusOk) {
            if (version > newest.version)
                newest = { .version = version, .at = request.endedAt };
            continue;
        }
        // The route was not found. That is correct if a newer version no longer contains it; it is a violation if the
        // gateway went back to an older version.
        const bool isRetained = version <= newest.version && version + SoakConfiguration::retainedVersions > newest.version;
        const bool mayHaveRestarted = hadFault(intervals, request.gateway, newest.at, request.endedAt);
        if (isRetained && request.sentAt > newest.at && !mayHaveRestarted)
            violations << describe(request) + ": went back from version " + QString::number(newest.version);
    }
    return violations;
}

namespace {

    // A time for which all gateways must keep to an endpoint's limit, in ms since the Unix epoch.
    struct LimitPeriod {
        double limit = 0; // requests a second
        qint64 from = 0;
        qint64 until = std::numeric_limits<qint64>::max();
    };

} // namespace

static std::vector<LimitPeriod> limitPeriods(const std::vector<SoakEffect>& effects)
{
    std::vector<LimitPeriod> periods;
    for (const SoakEffect& effect : effects) {
        const bool isLimited = effect.what == "limited";
        if (!periods.empty() && (isLimited || effect.what == "unlimited" || effect.what == "started"))
            periods.back().until = std::min(periods.back().until, effect.at);
        if (isLimited)
            periods.push_back({ .limit = effect.limit, .from = effect.at + limitKnownMs });
    }
    return periods;
}

size_t maxLimitedArrivals(double limit)
{
    return static_cast<size_t>(limitFactor * limit * static_cast<double>(limitWindowMs) / 1000) + limitExtra;
}

// Returns whether a fault may have kept a gateway from knowing the endpoint's limit or the requests of the others: it was
// restarted, paused or cut, or the link to the endpoint was disturbed. What the endpoint itself does is no excuse.
static bool isLimitExcused(const SoakEffects& effects, const std::string& endpoint, const std::vector<FaultInterval>& intervals, qint64 from, qint64 until)
{
    return std::any_of(intervals.begin(), intervals.end(), [&](const FaultInterval& interval) {
        if (interval.from > until || (interval.until != 0 && interval.until < from))
            return false;
        if (interval.what == endpoint)
            return !interval.kind.starts_with(endpoint + ".");
        const bool isGateway = interval.what != "store" && effects.count(interval.what) == 0;
        return isGateway && !interval.kind.starts_with("front-");
    });
}

QStringList checkLimits(const SoakEffects& effects, const std::vector<FaultInterval>& intervals)
{
    QStringList violations;
    for (const auto& [endpoint, list] : effects) {
        std::vector<qint64> arrivals;
        for (const SoakEffect& effect : list) {
            if (effect.what == "arrived")
                arrivals.push_back(effect.at);
        }
        for (const LimitPeriod& period : limitPeriods(list)) {
            auto first = std::lower_bound(arrivals.begin(), arrivals.end(), period.from);
            for (; first != arrivals.end() && *first < period.until; ++first) {
                const qint64 end = std::min(*first + limitWindowMs, period.until);
                const auto count = static_cast<size_t>(std::lower_bound(first, arrivals.end(), end) - first);
                if (count <= maxLimitedArrivals(period.limit) || isLimitExcused(effects, endpoint, intervals, *first - limitKnownMs, end))
                    continue;
                violations << QString::fromStdString(absl::StrCat(endpoint, " got ", count, " requests from ", *first, " to ", end, " at a limit of ", period.limit, " a second"));
                break;
            }
        }
    }
    return violations;
}

} // namespace hemlockweir
