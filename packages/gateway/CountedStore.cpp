#include "gateway/CountedStore.h"

namespace hemlockweir {

// Returns the outcome of a call as a metric label.
static std::string outcomeName(const absl::Status& status)
{
    if (status.ok())
        return "ok";
    if (absl::IsUnavailable(status))
        return "unavailable";
    if (absl::IsUnknown(status))
        return "unknown";
    return "refused";
}

// Wraps the callback of a call: counts the outcome, then calls `done`.
template <typename T>
static KvStore::Done<T> makeCountingCallback(ProxyMetrics& metrics, const std::string& operation, const std::string& prefix, KvStore::Done<T> done)
{
    return [&metrics, operation, prefix, done = std::move(done)](absl::StatusOr<T> result) {
        metrics.countStoreCall(operation, prefix, outcomeName(result.status()));
        done(std::move(result));
    };
}

KvStore countCalls(KvStore store, ProxyMetrics& metrics)
{
    return {
        .get = [&metrics, get = store.get](const std::string& key, KvStore::Done<KvItem> done) { get(key, makeCountingCallback(metrics, "get", key, std::move(done))); },
        .list = [&metrics, list = store.list](const std::string& prefix, bool mayBeStale, KvStore::Done<KvItems> done) { list(prefix, mayBeStale, makeCountingCallback(metrics, "list", prefix, std::move(done))); },
        .watch = [&metrics, watch = store.watch](const std::string& prefix, StoreRevision after, Millis wait, KvStore::Done<KvChanges> done) { watch(prefix, after, wait, makeCountingCallback(metrics, "watch", prefix, std::move(done))); },
        .commit = [&metrics, commit = store.commit](const KvTransaction& transaction, KvStore::Done<StoreRevision> done) { commit(transaction, makeCountingCallback(metrics, "commit", "", std::move(done))); },
        .grantLease = [&metrics, grantLease = store.grantLease](Millis ttl, KvStore::Done<KvLease> done) { grantLease(ttl, makeCountingCallback(metrics, "grant_lease", "", std::move(done))); },
        .renewLease = [&metrics, renewLease = store.renewLease](uint64_t lease, KvStore::Done<Millis> done) { renewLease(lease, makeCountingCallback(metrics, "renew_lease", "", std::move(done))); },
        .endLease = std::move(store.endLease),
        .eras = std::move(store.eras),
    };
}

} // namespace hemlockweir
