#pragma once

#include "config/ServiceFile.h"
#include "platform/KvClient.h"

// Publishing a configuration: one compare-and-swap on the platform.
//
// Each publish has a random id in its document, and the document names the publishes before it. So
// a publish whose answer was lost finds out whether it took effect, also after another one came
// on top. Of several publishes on the same base exactly one wins.

namespace hemlockweir {

struct PublishOptions {
    int64_t baseRevision = -1; // revision it replaces; -1: the one found at the first read
    int maxAttempts = 4; // writes whose answer was lost are looked up and tried again
    Random random;
};

// Writes the configuration; `done` gets the revision it is in force at. Aborted: another publish
// came first and nothing was written, or this one was in force and is superseded (the message
// says which); Unknown: the outcome could not be learned; Unavailable: nothing was written.
void publishConfiguration(KvClient& platform, Configuration configuration, const PublishOptions& options, Callback<int64_t> done);

} // namespace hemlockweir
