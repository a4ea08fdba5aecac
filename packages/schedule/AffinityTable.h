#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// Maps prompt prefixes to the group that last processed them, which may still hold them in its prefix cache. Bounded:
// evicts the least recently used blocks.

namespace hemlockweir {

// Returns hashes of a prompt's leading 64-byte blocks. Each hash also covers all blocks before it. Only the first 64
// blocks are hashed.
std::vector<uint64_t> hashPrefix(std::string_view prompt);

// A group that may have a prefix of a prompt in its cache.
struct Affinity {
    std::string group;
    double fraction = 0; // 0..1, of the prompt's hashed blocks

    auto operator<=>(const Affinity&) const = default;
};

class AffinityTable {
public:
    explicit AffinityTable(size_t capacity = 20000)
        : capacity_(capacity)
    {
    }

    // Records that a group processes a prompt with this prefix.
    void record(const std::vector<uint64_t>& prefix, const std::string& group);
    // Returns the group with the longest match of the prefix.
    std::optional<Affinity> find(const std::vector<uint64_t>& prefix) const;
    size_t size() const { return blocks_.size(); }

private:
    struct Block {
        std::string group;
        std::list<uint64_t>::iterator position;
    };

    size_t capacity_; // blocks
    std::list<uint64_t> recency_; // hashes, most recently used first
    std::unordered_map<uint64_t, Block> blocks_;
};

} // namespace hemlockweir
