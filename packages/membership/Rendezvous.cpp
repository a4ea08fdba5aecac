#include "membership/Rendezvous.h"

#include <algorithm>

namespace hemlockweir {

// FNV-1a, then the finalizer of MurmurHash3, so that names that differ in one digit spread.
uint64_t stableHash(std::string_view text)
{
    constexpr uint64_t offsetBasis = 14695981039346656037ULL;
    constexpr uint64_t prime = 1099511628211ULL;
    uint64_t hash = offsetBasis;
    for (const char c : text) {
        hash ^= static_cast<uint8_t>(c);
        hash *= prime;
    }
    constexpr uint64_t firstFactor = 0xff51afd7ed558ccdULL;
    constexpr uint64_t secondFactor = 0xc4ceb9fe1a85ec53ULL;
    hash = (hash ^ (hash >> 33)) * firstFactor;
    hash = (hash ^ (hash >> 33)) * secondFactor;
    return hash ^ (hash >> 33);
}

std::vector<std::string> pickByRendezvous(const std::vector<std::string>& names, std::string_view role, size_t count)
{
    struct Ranked {
        uint64_t rank;
        std::string name;
    };
    std::vector<Ranked> ranked;
    ranked.reserve(names.size());
    for (const std::string& name : names)
        ranked.push_back({ .rank = stableHash(std::string(role) + "/" + name), .name = name });
    std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) { return a.rank != b.rank ? a.rank > b.rank : a.name < b.name; });
    std::vector<std::string> picked;
    for (const Ranked& candidate : ranked) {
        if (picked.size() < count)
            picked.push_back(candidate.name);
    }
    return picked;
}

} // namespace hemlockweir
