#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

// Rendezvous hashing: every node that knows the same names picks the same few for a role, without
// a word exchanged, and the loss of one name moves only that name's role.

namespace hemlockweir {

// A hash that is the same on every node and build.
uint64_t stableHash(std::string_view text);

// Returns the `count` names that rank highest for a role, best first; all of them if fewer.
std::vector<std::string> pickByRendezvous(const std::vector<std::string>& names, std::string_view role, size_t count);

// The same, but the `preferred` names come first: the others only fill the places that are left.
std::vector<std::string> pickPreferred(const std::vector<std::string>& preferred, const std::vector<std::string>& others, std::string_view role, size_t count);

} // namespace hemlockweir
