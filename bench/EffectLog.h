#pragma once

#include <QJsonObject>
#include <map>
#include <set>
#include <string>
#include <vector>

// What the stand-ins truly did, read from their own logs, and what is counted in it.

namespace hemlockweir {

// The effects of one stand-in, in order; each has "what" and "at", ms since the epoch.
using EffectList = std::vector<QJsonObject>;

// One death of an engine.
struct EngineExit {
    std::string engine;
    qint64 at = 0; // ms since the epoch
};

// One forming of a group.
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

// The logs of all stand-ins.
class EffectLog {
public:
    // Adds the file of one stand-in by its name.
    void add(const std::string& name, const QString& path) { files_[name].path = path; }

    // From here on, read() gives what is new.
    void mark();

    // New effects of all stand-ins.
    EffectList read() const;

    // Who was in each group, from the orders since the start.
    FormedGroups groups() const;

private:
    struct File {
        QString path;
        qint64 markedAt = 0; // bytes
    };

    std::map<std::string, File> files_; // by stand-in
};

// Effects of one kind.
int countEffects(const EffectList& effects, const QString& what);

// Orders that services ran beyond the first of each idempotency key.
int countDuplicateOrders(const EffectList& effects);

// Runs that began after a member of their group had died, and yet were finished by this group.
int countRunsOnIncompleteGroups(const EffectList& effects, const FormedGroups& groups, const std::vector<EngineExit>& engineExits);

} // namespace hemlockweir
