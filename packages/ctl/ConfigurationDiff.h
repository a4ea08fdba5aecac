#pragma once

#include "config/Configuration.h"

// Human-readable differences between two configurations.

namespace hemlockweir {

// Returns one line for each entry that is added, removed or changed, such as
// "changes model 'prism-70b'".
std::vector<std::string> describeChanges(const Configuration& from, const Configuration& to);

} // namespace hemlockweir
