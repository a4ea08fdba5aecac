#pragma once

#include <QJsonObject>
#include <map>
#include <set>
#include <string>
#include <vector>

// Reads the effect logs of the stand-ins, which record what they actually executed, and counts effects
// and violations in them.

namespace hemlockweir {

// Effects in the order of the log. Each has the fields "what" and "at" (ms since the Unix epoch).
using EffectList = std::vector<QJsonObject>;

// The kill of an engine process.
struct EngineKill {
    std::string engine;
    qint64 at = 0; // ms since the epoch
};

// Identifies one formation of a group.
struct GroupEpoch {
    std::string group;
    uint64_t epoch = 0;

    auto operator<=>(const GroupEpoch&) const = default;
};

struct FormedGroup {
    std::set<std::string> members;
    qint64 formedAt = 0; // ms since the epoch
};

using FormedGroups = std::map<GroupEpoch, FormedGroup>;

// The effect logs of all stand-ins.
class EffectLog {
public:
    // Adds the log file of the stand-in `name`.
    void add(const std::string& name, const QString& path) { files_[name].path = path; }

    // Makes read() return only effects that are logged from now on.
    void mark();

    // Returns the effects of all stand-ins since mark().
    EffectList read() const;

    // Returns the members of each group, from all formation orders ("order") since the start.
    FormedGroups groups() const;

private:
    struct File {
        QString path;
        qint64 markedAt = 0; // offset in bytes
    };

    std::map<std::string, File> files_; // by name of the stand-in
};

// Returns the number of effects whose "what" is `what`.
int countEffects(const EffectList& effects, const QString& what);

// Returns the number of orders that services executed again for an idempotency key used before.
int countDuplicateOrders(const EffectList& effects);

// Returns the number of runs that started after a member of their group was killed, and that this
// group still finished.
int countRunsOnIncompleteGroups(const EffectList& effects, const FormedGroups& groups, const std::vector<EngineKill>& engineKills);

} // namespace hemlockweir
