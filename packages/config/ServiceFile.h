#pragma once

#include "config/Configuration.h"

// The short files that operators keep beside each service's code, and how they add up to one
// configuration.
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

// One file and its text.
struct ServiceFile {
    std::string name; // as it appears in messages
    std::string text;
};

// Collects service files into one configuration. Files are refused whole: the error lists every
// mistake of every file, one a line.
absl::StatusOr<Configuration> buildConfiguration(const std::vector<ServiceFile>& files);

} // namespace hemlockweir
