#include "base/Rendezvous.h"

#include "base/StableHash.h"

#include <algorithm>

namespace hemlockweir {

// Applies the finalizer of MurmurHash3 to the stable hash, so that names that differ in one digit
// get unrelated ranks.
uint64_t stableHash(std::string_view text)
{
    uint64_t hash = extendStableHash(stableHashStart, text);
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

std::vector<std::string> pickPreferred(const std::vector<std::string>& preferred, const std::vector<std::string>& others, std::string_view role, size_t count)
{
    std::vector<std::string> picked = pickByRendezvous(preferred, role, count);
    for (const std::string& name : pickByRendezvous(others, role, count - picked.size()))
        picked.push_back(name);
    return picked;
}

} // namespace hemlockweir
