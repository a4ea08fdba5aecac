#include "EffectLog.h"

#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>

namespace hemlockweir {

static EffectList readFrom(const QString& path, qint64 offset, const QByteArray& filter)
{
    EffectList effects;
    QFile file(path);
    if (!file.open(QIODevice::ReadOnly) || !file.seek(offset))
        return effects;
    for (const QByteArray& line : file.readAll().split('\n')) {
        const bool matches = filter.isEmpty() || line.contains(filter);
        if (const QJsonObject effect = matches ? QJsonDocument::fromJson(line).object() : QJsonObject(); !effect.isEmpty())
            effects.push_back(effect);
    }
    return effects;
}

void EffectLog::mark()
{
    for (auto& [name, file] : files_)
        file.markedAt = QFile(file.path).size();
}

EffectList EffectLog::read() const
{
    EffectList all;
    for (const auto& [name, file] : files_) {
        const EffectList effects = readFrom(file.path, file.markedAt, {});
        all.insert(all.end(), effects.begin(), effects.end());
    }
    return all;
}

static GroupEpoch groupEpochOf(const QJsonObject& effect)
{
    return { .group = effect["group"].toString().toStdString(), .epoch = static_cast<uint64_t>(effect["epoch"].toDouble()) };
}

FormedGroups EffectLog::groups() const
{
    FormedGroups groups;
    for (const auto& [name, file] : files_) {
        for (const QJsonObject& order : readFrom(file.path, 0, "\"what\":\"order\"")) {
            FormedGroup& group = groups[groupEpochOf(order)];
            group.formedAt = std::max(group.formedAt, static_cast<qint64>(order["at"].toDouble()));
            const QJsonArray members = order["members"].toArray();
            for (const QJsonValue& member : members)
                group.members.insert(member.toString().toStdString());
        }
    }
    return groups;
}

int countEffects(const EffectList& effects, const QString& what)
{
    return static_cast<int>(std::count_if(effects.begin(), effects.end(), [&](const QJsonObject& effect) { return effect["what"].toString() == what; }));
}

int countDuplicateOrders(const EffectList& effects)
{
    std::map<QString, int> ordersByKey;
    int duplicates = 0;
    for (const QJsonObject& effect : effects) {
        const QString key = effect["key"].toString();
        if (effect["what"].toString() == "order" && !key.isEmpty() && ++ordersByKey[key] > 1)
            ++duplicates;
    }
    return duplicates;
}

int countRunsOnIncompleteGroups(const EffectList& effects, const FormedGroups& groups, const std::vector<EngineKill>& engineKills)
{
    const auto isIncomplete = [&](const QJsonObject& run) {
        const auto group = groups.find(groupEpochOf(run));
        return group != groups.end() && std::any_of(engineKills.begin(), engineKills.end(), [&](const EngineKill& engineKill) {
            return group->second.members.contains(engineKill.engine) && engineKill.at > group->second.formedAt && engineKill.at < static_cast<qint64>(run["at"].toDouble());
        });
    };
    std::set<std::pair<QString, int>> startedRuns; // request and attempt
    for (const QJsonObject& effect : effects) {
        if (effect["what"].toString() == "run_started" && isIncomplete(effect))
            startedRuns.emplace(effect["request"].toString(), effect["attempt"].toInt());
    }
    return static_cast<int>(std::count_if(effects.begin(), effects.end(), [&](const QJsonObject& effect) {
        return effect["what"].toString() == "run_finished" && startedRuns.contains({ effect["request"].toString(), effect["attempt"].toInt() });
    }));
}

} // namespace hemlockweir
