#include "rollout/ConfigTable.h"

namespace hemlockweir {

ConfigTable::ConfigTable()
    : snapshot_ { .configuration = std::make_shared<const Configuration>(), .revision = 0 }
{
}

ConfigSnapshot ConfigTable::snapshot() const
{
    std::lock_guard lock(mutex_);
    return snapshot_;
}

bool ConfigTable::adopt(const Configuration& configuration, int64_t revision)
{
    std::lock_guard lock(mutex_);
    if (revision <= snapshot_.revision)
        return false;
    snapshot_ = { .configuration = std::make_shared<const Configuration>(configuration), .revision = revision };
    return true;
}

} // namespace hemlockweir
