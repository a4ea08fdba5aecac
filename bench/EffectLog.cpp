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
        const bool isWanted = filter.isEmpty() || line.contains(filter);
        if (const QJsonObject effect = isWanted ? QJsonDocument::fromJson(line).object() : QJsonObject(); !effect.isEmpty())
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

static GroupEpoch groupOf(const QJsonObject& effect)
{
    return { .group = effect["group"].toString().toStdString(), .epoch = static_cast<uint64_t>(effect["epoch"].toDouble()) };
}

FormedGroups EffectLog::groups() const
{
    FormedGroups groups;
    for (const auto& [name, file] : files_) {
        for (const QJsonObject& order : readFrom(file.path, 0, "\"what\":\"order\"")) {
            FormedGroup& group = groups[groupOf(order)];
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

int countRepeatedOrders(const EffectList& effects)
{
    std::map<QString, int> ordersByKey;
    int repeats = 0;
    for (const QJsonObject& effect : effects) {
        const QString key = effect["key"].toString();
        if (effect["what"].toString() == "order" && !key.isEmpty() && ++ordersByKey[key] > 1)
            ++repeats;
    }
    return repeats;
}

int countIncompleteRuns(const EffectList& effects, const FormedGroups& groups, const std::vector<EngineDeath>& deaths)
{
    const auto isIncomplete = [&](const QJsonObject& run) {
        const auto group = groups.find(groupOf(run));
        return group != groups.end() && std::any_of(deaths.begin(), deaths.end(), [&](const EngineDeath& death) {
            return group->second.members.contains(death.engine) && death.at > group->second.formedAt && death.at < static_cast<qint64>(run["at"].toDouble());
        });
    };
    std::set<std::pair<QString, int>> begun; // request and attempt
    for (const QJsonObject& effect : effects) {
        if (effect["what"].toString() == "run_started" && isIncomplete(effect))
            begun.emplace(effect["request"].toString(), effect["attempt"].toInt());
    }
    return static_cast<int>(std::count_if(effects.begin(), effects.end(), [&](const QJsonObject& effect) {
        return effect["what"].toString() == "run_finished" && begun.contains({ effect["request"].toString(), effect["attempt"].toInt() });
    }));
}

} // namespace hemlockweir
