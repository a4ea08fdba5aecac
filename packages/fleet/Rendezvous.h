#pragma once

#include <cstdint>
#include <string>
#include <vector>

// Rendezvous hashing: every node that knows the same candidates puts them in the same order for a
// key, and a candidate that comes or goes moves only its own share of the keys.

namespace hemlockweir {

// Returns the weight of a candidate for a key; the highest comes first. The same on every node.
uint64_t rendezvousWeight(const std::string& key, const std::string& candidate);

// Returns how many of the candidates come before `self` for a key; 0: `self` is the first.
// `self` need not be among the candidates.
size_t rendezvousRank(const std::string& key, const std::string& self, const std::vector<std::string>& candidates);

} // namespace hemlockweir
