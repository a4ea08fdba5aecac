#include "schedule/AffinityTable.h"

#include "base/StableHash.h"

namespace hemlockweir {

static constexpr size_t blockBytes = 64;
static constexpr size_t maxBlocks = 64;

std::vector<uint64_t> hashPrefix(std::string_view prompt)
{
    std::vector<uint64_t> hashes;
    uint64_t hash = stableHashStart;
    for (size_t offset = 0; offset + blockBytes <= prompt.size() && hashes.size() < maxBlocks; offset += blockBytes) {
        hash = extendStableHash(hash, prompt.substr(offset, blockBytes));
        hashes.push_back(hash);
    }
    return hashes;
}

void AffinityTable::record(const std::vector<uint64_t>& prefix, const std::string& group)
{
    for (const uint64_t hash : prefix) {
        const auto found = blocks_.find(hash);
        if (found != blocks_.end()) {
            found->second.group = group;
            recency_.splice(recency_.begin(), recency_, found->second.position);
            continue;
        }
        recency_.push_front(hash);
        blocks_[hash] = { .group = group, .position = recency_.begin() };
    }
    while (blocks_.size() > capacity_) {
        blocks_.erase(recency_.back());
        recency_.pop_back();
    }
}

std::optional<Affinity> AffinityTable::find(const std::vector<uint64_t>& prefix) const
{
    std::optional<Affinity> best;
    for (size_t i = 0; i < prefix.size(); ++i) {
        const auto found = blocks_.find(prefix[i]);
        if (found == blocks_.end())
            break;
        best = { .group = found->second.group, .fraction = static_cast<double>(i + 1) / static_cast<double>(prefix.size()) };
    }
    return best;
}

} // namespace hemlockweir
