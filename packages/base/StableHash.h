#pragma once

#include <cstdint>
#include <string_view>

// A hash function with the same result on every node and in every build, for choices on which nodes must agree.

namespace hemlockweir {

// Initial value of a hash (the FNV-1a offset basis).
inline constexpr uint64_t stableHashStart = 14695981039346656037ULL;

// Returns the FNV-1a hash extended by the text. Pass the result to the next call to hash text in pieces.
uint64_t extendStableHash(uint64_t hash, std::string_view text);

} // namespace hemlockweir
