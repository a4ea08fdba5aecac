#pragma once

#include "config/Configuration.h"

// Service files, and how they are merged into one configuration. Operators keep one short TOML file
// next to the code of each service. Example:
//
//   [[priority]]
//   name = "urgent"
//   rank = 0
//   first_token_ms = 310
//
//   [[caller]]
//   name = "press-floor"
//   key_sha256 = "..."
//   default_priority = "urgent"
//
//   [[model]]
//   name = "prism-70b"
//   pool = "models"
//   members = 4
//
//   [[service]]
//   name = "orders"
//   pool = "orders"
//   path = "/orders"

namespace hemlockweir {

// The name and the text of one service file.
struct ServiceFile {
    std::string name; // as shown in error messages
    std::string text;
};

// Merges service files into one configuration. Any mistake rejects all files. The error lists every
// mistake of every file, one per line.
absl::StatusOr<Configuration> buildConfiguration(const std::vector<ServiceFile>& files);

} // namespace hemlockweir
