#include "rollout/ConfigTable.h"

namespace hemlockweir {

ConfigTable::ConfigTable()
    : snapshot_ { .configuration = std::make_shared<const Configuration>(), .revision = 0, .document = {} }
{
}

ConfigSnapshot ConfigTable::snapshot() const
{
    std::lock_guard lock(mutex_);
    return snapshot_;
}

bool ConfigTable::adopt(const Configuration& configuration, int64_t revision, const QByteArray& document)
{
    std::lock_guard lock(mutex_);
    if (revision <= snapshot_.revision)
        return false;
    snapshot_ = { .configuration = std::make_shared<const Configuration>(configuration), .revision = revision, .document = document };
    return true;
}

} // namespace hemlockweir
