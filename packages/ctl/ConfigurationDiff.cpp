#include "ctl/ConfigurationDiff.h"

namespace hemlockweir {

static std::string describe(const char* verb, const std::string& kind, const std::string& name)
{
    std::string text(verb);
    text.append(" ").append(kind).append(" '").append(name).append("'");
    return text;
}

template <typename T>
static void compare(const std::string& kind, const std::vector<T>& from, const std::vector<T>& to, std::vector<std::string>& changes)
{
    std::map<std::string, const T*> before;
    for (const T& item : from)
        before[item.name] = &item;
    for (const T& item : to) {
        const auto found = before.extract(item.name);
        if (found.empty())
            changes.push_back(describe("adds", kind, item.name));
        else if (*found.mapped() != item)
            changes.push_back(describe("changes", kind, item.name));
    }
    for (const auto& [name, item] : before)
        changes.push_back(describe("removes", kind, name));
}

std::vector<std::string> describeChanges(const Configuration& from, const Configuration& to)
{
    std::vector<std::string> changes;
    compare("priority", from.priorities, to.priorities, changes);
    compare("caller", from.callers, to.callers, changes);
    compare("model", from.models, to.models, changes);
    compare("service", from.services, to.services, changes);
    return changes;
}

} // namespace hemlockweir
