#pragma once

#include "config/ServiceFile.h"
#include "platform/KvClient.h"

// Publishes a configuration with one compare-and-swap on the platform's key.
//
// Each document contains a random publication id and the ids of the previous publications. After a
// lost response, the publisher reads the document to learn whether its write took effect, even if
// another publication has replaced it since. Of several publishes on the same base, exactly one
// succeeds.

namespace hemlockweir {

struct PublishOptions {
    int64_t baseRevision = -1; // revision to replace; -1: the one found at the first read
    int maxAttempts = 4; // each reads, then writes; a failed or conflicting one is repeated
    Random random;
};

// Writes the configuration. `done` receives its revision, or an error:
// - Aborted: another publish came first and nothing was written, or this one took effect and has been
//   superseded since; the message tells which.
// - Unknown: the outcome could not be determined.
// - Unavailable: nothing was written.
// - InvalidArgument: the configuration is larger than maxConfigurationBytes.
void publishConfiguration(KvClient& platform, Configuration configuration, const PublishOptions& options, Callback<int64_t> done);

} // namespace hemlockweir
