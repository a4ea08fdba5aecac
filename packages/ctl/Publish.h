#pragma once

#include "config/ServiceFile.h"
#include "platform/KvClient.h"

// Publishing a configuration: one compare-and-swap on the platform.

namespace hemlockweir {

struct PublishOptions {
    int64_t baseRevision = -1; // revision it replaces; -1: whatever is there now
    int tries = 4; // writes whose answer was lost are looked up and tried again
    Random random;
};

// Writes the configuration; `done` gets the revision it is in force at. Aborted: another publish
// came first; Unknown: the outcome could not be learned.
void publishConfiguration(KvClient& platform, Configuration configuration, const PublishOptions& options, Callback<int64_t> done);

} // namespace hemlockweir
