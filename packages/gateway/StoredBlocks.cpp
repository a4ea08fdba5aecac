#include "gateway/StoredBlocks.h"

#include "gateway/Presence.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <absl/strings/strip.h>
#include <algorithm>

namespace hemlockweir {

const std::string StoredBlocks::keyPrefix = std::string(Presence::keyPrefix) + "blocked/";

// Bytes of an invalid key that are logged.
static constexpr size_t maxLoggedBytes = 64;

static std::string formatKey(const CrashBlock& block)
{
    return absl::StrFormat("%s%s/%016x", StoredBlocks::keyPrefix, block.isPart ? "part" : "request", block.blocked);
}

static std::optional<CrashBlock> parseKey(absl::string_view key)
{
    CrashBlock block;
    absl::ConsumePrefix(&key, StoredBlocks::keyPrefix);
    block.isPart = absl::ConsumePrefix(&key, "part/");
    if (!block.isPart && !absl::ConsumePrefix(&key, "request/"))
        return std::nullopt;
    return absl::SimpleHexAtoi(key, &block.blocked) ? std::optional(block) : std::nullopt;
}

StoredBlocks::StoredBlocks(Options options, StoreFollower& store, const PlatformAdapter& adapter, DecisionLog& log)
    : options_(std::move(options))
    , store_(store)
    , adapter_(adapter)
    , log_(log)
{
    store_.addListener([this] { update(); });
}

// Applies the keys that were not read yet. A key that was written again counts as another one.
void StoredBlocks::readKeys()
{
    std::map<std::string, StoreRevision> present;
    for (const KvItem* item : store_.itemsWith(keyPrefix)) {
        present[item->key] = item->revision;
        const auto read = read_.find(item->key);
        if (read != read_.end() && read->second == item->revision)
            continue;
        const std::optional<CrashBlock> block = parseKey(item->key);
        log_.noteChange(block ? "block_read" : "block_unreadable", { { "key", absl::CHexEscape(item->key.substr(0, maxLoggedBytes)) }, { "written_by", absl::CHexEscape(item->value.substr(0, maxLoggedBytes)) }, { "revision", item->revision.toString() } });
        if (block)
            options_.onBlock(*block);
    }
    read_ = std::move(present);
}

std::map<std::string, CrashBlock> StoredBlocks::blocksByKey() const
{
    std::map<std::string, CrashBlock> blocks;
    for (const CrashBlock& block : options_.blocks())
        blocks.emplace(formatKey(block), block);
    return blocks;
}

// Returns whether a key may be written or removed. After a write the store gets time to report it.
bool StoredBlocks::isDue(const std::string& key) const
{
    return !writtenAt_.contains(key);
}

void StoredBlocks::update()
{
    if (!store_.hasData())
        return;
    readKeys();
    // Revisions and leases of an earlier era may belong to other keys now.
    if (isWriting_ || !options_.mayWrite() || !store_.isReachable() || !store_.isOfCurrentEra())
        return;
    std::erase_if(writtenAt_, [this](const auto& entry) { return options_.clock() - entry.second >= options_.retryInterval; });
    const std::map<std::string, CrashBlock> blocks = blocksByKey();
    const std::vector<const KvItem*> items = store_.itemsWith(keyPrefix);
    const auto ended = std::find_if(items.begin(), items.end(), [&](const KvItem* item) { return !blocks.contains(item->key) && isDue(item->key); });
    if (ended != items.end()) {
        remove(**ended);
        return;
    }
    // A block that only another node reports is not written: each node limits only the time of its own blocks.
    const auto begun = std::find_if(blocks.begin(), blocks.end(), [this](const auto& entry) { return entry.second.isOwn && !store_.find(entry.first) && isDue(entry.first); });
    if (begun != blocks.end() && items.size() < options_.maxKeys)
        write(begun->first);
}

void StoredBlocks::write(const std::string& key)
{
    isWriting_ = true;
    writtenAt_[key] = options_.clock();
    const uint64_t era = adapter_.store.eras->current();
    adapter_.store.grantLease(options_.lifetime, [this, key, era](absl::StatusOr<KvLease> lease) {
        // After a restore of the store the number of the lease may be another node's.
        if (lease.ok() && era == adapter_.store.eras->current())
            put(key, *lease);
        else
            finishWrite("block_kept", key, lease.ok() ? absl::UnknownError("the store was restored") : lease.status());
    });
}

void StoredBlocks::put(const std::string& key, const KvLease& lease)
{
    KvTransaction transaction;
    transaction.conditions.push_back({ .key = key });
    transaction.puts.push_back({ .key = key, .value = options_.node, .lease = lease.id });
    adapter_.store.commit(transaction, [this, key](const absl::StatusOr<StoreRevision>& revision) { finishWrite("block_kept", key, revision.status()); });
}

void StoredBlocks::remove(const KvItem& item)
{
    isWriting_ = true;
    writtenAt_[item.key] = options_.clock();
    KvTransaction transaction;
    transaction.conditions.push_back({ .key = item.key, .revision = item.revision });
    transaction.removals.push_back(item.key);
    adapter_.store.commit(transaction, [this, key = item.key](const absl::StatusOr<StoreRevision>& revision) { finishWrite("block_removed", key, revision.status()); });
}

// A write that failed, or may have, is repeated after retryInterval unless the store's keys show that it took effect.
void StoredBlocks::finishWrite(std::string_view event, const std::string& key, const absl::Status& status)
{
    isWriting_ = false;
    log_.noteChange(event, { { "key", absl::CHexEscape(key.substr(0, maxLoggedBytes)) }, { "result", status.ok() ? "ok" : std::string(status.message()) } });
    update();
}

} // namespace hemlockweir
