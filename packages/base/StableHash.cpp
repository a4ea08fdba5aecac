#include "base/StableHash.h"

namespace hemlockweir {

uint64_t extendStableHash(uint64_t hash, std::string_view text)
{
    constexpr uint64_t prime = 1099511628211ULL;
    for (const char c : text)
        hash = (hash ^ static_cast<uint8_t>(c)) * prime;
    return hash;
}

} // namespace hemlockweir
