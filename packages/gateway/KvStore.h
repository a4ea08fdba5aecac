#pragma once

#include "base/Clock.h"
#include "gateway/StoreEras.h"
#include "gateway/StoreRevision.h"

#include <absl/status/statusor.h>
#include <functional>
#include <memory>
#include <string>
#include <vector>

// Interface to the key-value store of a platform. An adapter fills in the functions. All callbacks run on the event
// loop. Errors:
//   Unavailable         the call certainly had no effect
//   Unknown             the call may have taken effect, or may still do so later
//   OutOfRange          the history that a watch requires is no longer available
//   NotFound            the key or the lease does not exist
//   FailedPrecondition  a condition of a transaction was not met
// An answer of an earlier era than the node knows (`eras`) is dropped: its call ends with Unknown.

namespace hemlockweir {

struct KvItem {
    std::string key;
    std::string value;
    StoreRevision revision; // of its last change; in the era in which it was read
    uint64_t lease = 0; // 0: none
};

// All items with a prefix.
struct KvItems {
    std::vector<KvItem> items;
    StoreRevision revision; // of the store, when the listing began
};

// Changes since a revision.
struct KvChanges {
    std::vector<KvItem> written;
    std::vector<KvItem> deleted; // only the key and the revision of the deletion are set
    StoreRevision revision; // from which to continue the watch
};

// An atomic change of several keys that takes effect only if all conditions are met.
struct KvTransaction {
    struct Condition {
        std::string key;
        StoreRevision revision; // that the key must have; number 0: the key must not exist
    };

    std::vector<Condition> conditions;
    std::vector<KvItem> puts; // `revision` is ignored
    std::vector<std::string> removals;
};

// A lease. Its keys are removed when it ends.
struct KvLease {
    uint64_t id = 0;
    Millis ttl { 0 }; // ms, as the store granted it: from the arrival of the call, or of the last renewal
};

struct KvStore {
    template <typename T>
    using Done = std::function<void(absl::StatusOr<T>)>;

    std::function<void(const std::string& key, Done<KvItem>)> get; // NotFound if the key doesn't exist
    std::function<void(const std::string& prefix, bool mayBeStale, Done<KvItems>)> list; // all items with a prefix
    std::function<void(const std::string& prefix, StoreRevision after, Millis wait, Done<KvChanges>)> watch; // answers at the first change, or after `wait`
    std::function<void(const KvTransaction&, Done<StoreRevision>)> commit; // returns the new revision of the store
    std::function<void(Millis ttl, Done<KvLease>)> grantLease; // the store may grant another TTL than requested
    std::function<void(uint64_t lease, Done<Millis>)> renewLease; // returns the TTL of the lease; 0: unchanged
    std::function<void(uint64_t lease)> endLease;
    std::shared_ptr<StoreEras> eras = std::make_shared<StoreEras>(); // told by every answer, failed calls included
};

} // namespace hemlockweir
