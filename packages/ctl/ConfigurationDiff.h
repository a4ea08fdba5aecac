#pragma once

#include "config/Configuration.h"

// What differs between two configurations, for people.

namespace hemlockweir {

// One line for each entry that is added, removed or changed, such as "changes model 'prism-70b'".
std::vector<std::string> describeChanges(const Configuration& from, const Configuration& to);

} // namespace hemlockweir
