#pragma once

#include "base/Clock.h"

#include <absl/status/statusor.h>
#include <functional>
#include <string>
#include <vector>

// What the product needs of a platform's key-value store, as hooks that an adapter fills. Errors:
// Unavailable when a call surely had no effect, Unknown when it may have had or may have later,
// OutOfRange when a watch asks for changes that are no longer kept, NotFound for an ended lease,
// FailedPrecondition when a condition of a transaction did not hold. Calls return on the event loop.

namespace hemlockweir {

struct KvItem {
    std::string key;
    std::string value;
    uint64_t revision = 0; // of its last change
    uint64_t lease = 0; // 0: none
};

// Items with a prefix, all pages together.
struct KvItems {
    std::vector<KvItem> items;
    uint64_t revision = 0; // of the store, at the first page
};

// What changed since a revision.
struct KvChanges {
    std::vector<KvItem> written;
    std::vector<KvItem> deleted; // key and revision of the deletion
    uint64_t revision = 0; // to watch on from
};

// A change of several keys at once, under conditions.
struct KvTransaction {
    struct Condition {
        std::string key;
        uint64_t revision = 0; // 0: the key must not exist
    };

    std::vector<Condition> conditions;
    std::vector<KvItem> puts; // revision unused
    std::vector<std::string> removals;
};

struct KvStore {
    template <typename T>
    using Done = std::function<void(absl::StatusOr<T>)>;

    std::function<void(const std::string& key, Done<KvItem>)> get; // NotFound without it
    std::function<void(const std::string& prefix, bool mayBeStale, Done<KvItems>)> list;
    std::function<void(const std::string& prefix, uint64_t after, Millis wait, Done<KvChanges>)> watch;
    std::function<void(const KvTransaction&, Done<uint64_t>)> commit; // the new revision
    std::function<void(Millis ttl, Done<uint64_t>)> grantLease; // its id
    std::function<void(uint64_t lease, Done<Millis>)> renewLease; // its time to live
    std::function<void(uint64_t lease)> endLease;
};

} // namespace hemlockweir
