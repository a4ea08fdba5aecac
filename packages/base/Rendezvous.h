#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

// Rendezvous hashing: all nodes that know the same names select the same few for a role without
// communication. Removing a name reassigns only the roles of that name.

namespace hemlockweir {

// Returns a hash that is the same on every node and in every build.
uint64_t stableHash(std::string_view text);

// Returns the `count` names with the highest rank for a role, best first, or all names if there are
// fewer.
std::vector<std::string> pickByRendezvous(const std::vector<std::string>& names, std::string_view role, size_t count);

// Like pickByRendezvous(), but the `preferred` names come first; the others fill only the remaining
// places.
std::vector<std::string> pickPreferred(const std::vector<std::string>& preferred, const std::vector<std::string>& others, std::string_view role, size_t count);

} // namespace hemlockweir
