#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// Which group last read the beginning of a prompt, and so may still hold it in its prefix cache.
// Bounded: the prefixes not used for longest are forgotten.

namespace hemlockweir {

// Hashes of a prompt's leading blocks, each over all before it. Only so many blocks count.
std::vector<uint64_t> hashPrefix(std::string_view prompt);

// A group that may hold the first part of a prompt.
struct Affinity {
    std::string group;
    double fraction = 0; // 0..1, of the prompt's blocks

    auto operator<=>(const Affinity&) const = default;
};

class AffinityTable {
public:
    explicit AffinityTable(size_t capacity = 20000)
        : capacity_(capacity)
    {
    }

    void record(const std::vector<uint64_t>& prefix, const std::string& group);
    std::optional<Affinity> find(const std::vector<uint64_t>& prefix) const;
    size_t size() const { return blocks_.size(); }

private:
    struct Block {
        std::string group;
        std::list<uint64_t>::iterator position;
    };

    size_t capacity_; // blocks
    std::list<uint64_t> recency_; // latest first
    std::unordered_map<uint64_t, Block> blocks_;
};

} // namespace hemlockweir
