#include "schedule/AffinityTable.h"

#include "base/StableHash.h"

namespace hemlockweir {

static constexpr size_t blockBytes = 64;
static constexpr size_t mostBlocks = 64;

std::vector<uint64_t> hashPrefix(std::string_view prompt)
{
    std::vector<uint64_t> hashes;
    uint64_t hash = stableHashStart;
    for (size_t at = 0; at + blockBytes <= prompt.size() && hashes.size() < mostBlocks; at += blockBytes) {
        hash = extendStableHash(hash, prompt.substr(at, blockBytes));
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
            uses_.splice(uses_.begin(), uses_, found->second.use);
            continue;
        }
        uses_.push_front(hash);
        blocks_[hash] = { .group = group, .use = uses_.begin() };
    }
    while (blocks_.size() > capacity_) {
        blocks_.erase(uses_.back());
        uses_.pop_back();
    }
}

std::optional<Affinity> AffinityTable::find(const std::vector<uint64_t>& prefix) const
{
    std::optional<Affinity> best;
    for (size_t i = 0; i < prefix.size(); ++i) {
        const auto found = blocks_.find(prefix[i]);
        if (found == blocks_.end())
            break;
        best = { .group = found->second.group, .share = static_cast<double>(i + 1) / static_cast<double>(prefix.size()) };
    }
    return best;
}

} // namespace hemlockweir
