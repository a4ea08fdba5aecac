#include "fleet/DrainList.h"

#include "base/Log.h"

namespace hemlockweir {

DrainList::DrainList(Options options, FleetTable& table, KvClient& platform)
    : options_(std::move(options))
    , table_(table)
    , platform_(platform)
{
    connect(&timer_, &QTimer::timeout, this, &DrainList::read);
}

void DrainList::read()
{
    if (isBusy_)
        return;
    if (!options_.shouldRead()) {
        table_.setDraining({});
        return;
    }
    isBusy_ = true;
    platform_.getPrefix(drainPrefix, [this](absl::StatusOr<KvRange> range) {
        isBusy_ = false;
        if (range.ok())
            apply(*range);
    });
}

void DrainList::apply(const KvRange& range)
{
    std::set<std::string> ids;
    const qsizetype prefixLength = QByteArray(drainPrefix).size();
    for (const KvEntry& entry : range.entries)
        ids.insert(entry.key.mid(prefixLength).toStdString());
    const std::set<std::string> known = table_.localDraining();
    for (const std::string& id : ids) {
        if (!known.contains(id))
            logInfo("instance_draining", { { "instance", id } });
    }
    table_.setDraining(ids);
}

} // namespace hemlockweir
