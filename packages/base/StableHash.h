#pragma once

#include <cstdint>
#include <string_view>

// Hashes that are the same on every node and build, for choices that nodes must make alike.

namespace hemlockweir {

// Where a hash begins.
inline constexpr uint64_t stableHashStart = 14695981039346656037ULL;

// Adds text to a hash by FNV-1a; pass the result on to hash text in pieces.
uint64_t extendStableHash(uint64_t hash, std::string_view text);

} // namespace hemlockweir
