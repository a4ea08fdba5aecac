#pragma once

#include "gateway/KvStore.h"
#include "proxy/ProxyMetrics.h"

// The platform's store with each call counted: by operation, prefix and outcome.

namespace hemlockweir {

// Hooks that call those of `store` and count in `metrics`, which must outlive them.
KvStore countCalls(KvStore store, ProxyMetrics& metrics);

} // namespace hemlockweir
