#include "fleet/RemoteGroups.h"

#include <algorithm>

namespace hemlockweir {

// Much longer than a datagram can be in transit, so that no late row can restore what was removed.
static constexpr Millis retention { 60000 };

void RemoteGroups::apply(const RemoteGroup& row)
{
    for (const std::string& member : row.members) {
        MemberEpoch& known = epochs_[member];
        if (known.epoch <= row.epoch)
            known = { .epoch = row.epoch, .reportedAt = std::max(known.reportedAt, row.reportedAt) };
    }
    RemoteGroup& known = rows_[row.group][row.observer];
    const bool isOlder = row.epoch < known.epoch || (row.epoch == known.epoch && row.reportedAt < known.reportedAt);
    if (!isOlder)
        known = row;
}

bool RemoteGroups::isSuperseded(const RemoteGroup& row) const
{
    return std::any_of(row.members.begin(), row.members.end(), [&](const std::string& member) {
        const auto found = epochs_.find(member);
        return found != epochs_.end() && found->second.epoch > row.epoch;
    });
}

std::vector<RemoteGroup> RemoteGroups::current(Millis now, Millis freshness) const
{
    std::vector<RemoteGroup> groups;
    for (const auto& [group, byObserver] : rows_) {
        const RemoteGroup* newest = nullptr;
        for (const auto& [observer, row] : byObserver) {
            const bool isCurrent = row.whole && now - row.reportedAt <= freshness && !isSuperseded(row);
            if (isCurrent && (!newest || newest->reportedAt < row.reportedAt))
                newest = &row;
        }
        if (newest)
            groups.push_back(*newest);
    }
    return groups;
}

void RemoteGroups::prune(Millis now)
{
    for (auto& [group, byObserver] : rows_)
        std::erase_if(byObserver, [&](const auto& entry) { return now - entry.second.reportedAt > retention; });
    std::erase_if(rows_, [](const auto& entry) { return entry.second.empty(); });
    std::erase_if(epochs_, [&](const auto& entry) { return now - entry.second.reportedAt > retention; });
}

size_t RemoteGroups::size() const
{
    size_t rows = epochs_.size();
    for (const auto& [group, byObserver] : rows_)
        rows += byObserver.size();
    return rows;
}

} // namespace hemlockweir
