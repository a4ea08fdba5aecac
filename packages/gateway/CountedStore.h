#pragma once

#include "gateway/KvStore.h"
#include "proxy/ProxyMetrics.h"

// Counts the calls to the platform's store by operation, prefix and outcome.

namespace hemlockweir {

// Returns a store that forwards to `store` and counts each call in `metrics`, which must outlive it.
KvStore countCalls(KvStore store, ProxyMetrics& metrics);

} // namespace hemlockweir
