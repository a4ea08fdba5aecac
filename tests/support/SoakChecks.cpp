#include "support/SoakChecks.h"

#include "http/StatusCodes.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace hemlockweir {

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
            SoakEffect effect { .endpoint = endpoint, .at = static_cast<qint64>(fields["at"].toDouble()), .what = fields["what"].toString().toStdString(), .request = fields["request"].toString().toStdString(), .group = fields["group"].toString().toStdString(), .epoch = static_cast<qint64>(fields["epoch"].toDouble()), .model = fields["model"].toString().toStdString() };
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
    QStringList broken;
    for (const SoakRequest& request : requests) {
        if (request.status != statusOk)
            continue;
        const std::string whole = request.expectedBody();
        const bool isRight = request.isComplete ? request.received == whole : whole.starts_with(request.received);
        if (!isRight)
            broken << describe(request) + (request.isComplete ? " whole" : " cut") + ": got \"" + QString::fromStdString(request.received) + "\" instead of \"" + QString::fromStdString(whole) + "\"";
    }
    return broken;
}

QStringList checkRunsOnce(const std::vector<SoakRequest>& requests, const SoakEffects& effects)
{
    QStringList broken;
    const std::map<std::string, int> runs = countRuns(effects);
    for (const SoakRequest& request : requests) {
        const auto found = runs.find(request.id);
        if (request.isOrder() && found != runs.end() && found->second > 1)
            broken << describe(request) + ": ran " + QString::number(found->second) + " times";
    }
    return broken;
}

QStringList checkRefusals(const std::vector<SoakRequest>& requests, const SoakEffects& effects)
{
    QStringList broken;
    const std::map<std::string, int> runs = countRuns(effects);
    for (const SoakRequest& request : requests) {
        const bool saysNotRun = request.status == statusUnavailable || request.status == statusTooMany || request.status == statusRequestTimeout || request.status == statusMisdirected;
        if (saysNotRun && runs.count(request.id) > 0)
            broken << describe(request) + ": refused as not run, and ran";
    }
    return broken;
}

// Whether an engine was ready under the name, epoch and list of a run before it.
static bool wasReady(const std::vector<SoakEffect>& effects, const SoakEffect& run)
{
    return std::any_of(effects.begin(), effects.end(), [&](const SoakEffect& effect) {
        return effect.what == "ready" && effect.isSameGroup(run) && effect.members == run.members && effect.at <= run.at;
    });
}

QStringList checkWholeReplicas(const SoakEffects& effects)
{
    QStringList broken;
    for (const auto& [endpoint, list] : effects) {
        for (const SoakEffect& run : list) {
            if (run.what != "run" || run.group.empty())
                continue;
            const size_t size = run.model == "large" ? 3 : 2;
            const bool isWhole = run.members.size() == size && std::all_of(run.members.begin(), run.members.end(), [&](const std::string& member) { return wasReady(effects.at(member), run); });
            if (!isWhole)
                broken << QString::fromStdString(run.request + " began at " + endpoint + " in " + run.group + ", which is not whole, at " + std::to_string(run.at));
        }
    }
    return broken;
}

static bool wasDown(const std::string& process, qint64 at, const std::vector<SoakTrouble>& troubles)
{
    return std::any_of(troubles.begin(), troubles.end(), [&](const SoakTrouble& trouble) {
        return trouble.what == process && trouble.kind == "kill" && trouble.from <= at && (trouble.until == 0 || trouble.until >= at);
    });
}

// What an engine last said of its place before a moment; null if it has none.
static const SoakEffect* lastBefore(const std::vector<SoakEffect>& effects, qint64 at)
{
    const SoakEffect* last = nullptr;
    for (const SoakEffect& effect : effects) {
        if (effect.at >= at)
            break;
        if (effect.what != "run" && effect.what != "faults" && effect.what != "leaving")
            last = &effect;
    }
    const bool hasPlace = last && last->what != "left" && last->what != "started";
    return hasPlace ? last : nullptr;
}

QStringList checkOneReplica(const SoakEffects& effects, const std::vector<SoakTrouble>& troubles)
{
    QStringList broken;
    for (const auto& [endpoint, list] : effects) {
        for (const SoakEffect& join : list) {
            if (join.what != "joined")
                continue;
            const SoakEffect* before = lastBefore(list, join.at);
            if (!before || before->isSameGroup(join) || before->members.empty())
                continue;
            const std::string& head = before->members.front();
            const SoakEffect* headNow = lastBefore(effects.at(head), join.at);
            const bool isServing = headNow && headNow->isSameGroup(*before) && (headNow->what == "open" || headNow->what == "closing");
            if (isServing && !wasDown(head, join.at, troubles))
                broken << QString::fromStdString(absl::StrCat(endpoint, " joined ", join.group, " at ", join.at, " while ", head, " served ", before->group));
        }
    }
    return broken;
}

QStringList checkEnds(const std::vector<SoakRequest>& requests, const std::vector<SoakTrouble>& troubles)
{
    QStringList broken;
    for (const SoakRequest& request : requests) {
        if (request.isGivenUp && !wasTroubled(troubles, request.gateway, request.sentAt - 1, request.endedAt))
            broken << describe(request) + ": no end by its deadline";
    }
    return broken;
}

QStringList checkVersions(const std::vector<SoakRequest>& requests, const std::vector<SoakTrouble>& troubles)
{
    QStringList broken;
    struct Known {
        uint64_t version = 0;
        qint64 at = 0; // when it was seen
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
        // Not found although it was in force: by a newer version that dropped it, or by an older one.
        const bool isStillKept = version <= newest.version && version + SoakConfiguration::versionsKept > newest.version;
        const bool mayHaveRestarted = wasTroubled(troubles, request.gateway, newest.at, request.endedAt);
        if (isStillKept && request.sentAt > newest.at && !mayHaveRestarted)
            broken << describe(request) + ": fell back from version " + QString::number(newest.version);
    }
    return broken;
}

} // namespace hemlockweir
