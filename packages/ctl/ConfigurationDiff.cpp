#include "ctl/ConfigurationDiff.h"

namespace hemlockweir {

static std::string formatChange(const char* verb, const std::string& kind, const std::string& name)
{
    std::string text(verb);
    text.append(" ").append(kind).append(" '").append(name).append("'");
    return text;
}

template <typename T>
static void appendChanges(const std::string& kind, const std::vector<T>& from, const std::vector<T>& to, std::vector<std::string>& changes)
{
    std::map<std::string, const T*> before;
    for (const T& item : from)
        before[item.name] = &item;
    for (const T& item : to) {
        const auto found = before.extract(item.name);
        if (found.empty())
            changes.push_back(formatChange("adds", kind, item.name));
        else if (*found.mapped() != item)
            changes.push_back(formatChange("changes", kind, item.name));
    }
    for (const auto& [name, item] : before)
        changes.push_back(formatChange("removes", kind, name));
}

std::vector<std::string> describeChanges(const Configuration& from, const Configuration& to)
{
    std::vector<std::string> changes;
    appendChanges("priority", from.priorities, to.priorities, changes);
    appendChanges("caller", from.callers, to.callers, changes);
    appendChanges("model", from.models, to.models, changes);
    appendChanges("service", from.services, to.services, changes);
    return changes;
}

} // namespace hemlockweir
