#pragma once

#include "base/Clock.h"

#include <QByteArray>
#include <absl/status/statusor.h>
#include <string>

// Idempotency keys that a node makes, bound to itself: they work without the platform, by the word
// of that node's ledger in memory.
//
//   hemlockweir-1.BODY.TAG
//
// BODY says where the home node is reached, which start of it made the key and when; TAG is an
// HMAC-SHA-256 under the cluster key, cut to 16 bytes, over the body and the caller's name. So only
// nodes make such keys, and each serves one caller. Both parts are base64url.

namespace hemlockweir {

struct BoundKey {
    std::string home; // ADDRESS:PORT of the home node for peers
    uint64_t start = 0; // random name of the home's start
    int64_t issuedAtMs = 0; // ms, the home's own clock
    uint64_t nonce = 0; // random

    template <class Archive>
    void serialize(Archive& archive);
    auto operator<=>(const BoundKey&) const = default;
};

// Whether a caller's key claims to be one; callers' own keys must not begin so.
bool hasBoundKeyPrefix(const QByteArray& text);

QByteArray formatBoundKey(const BoundKey& key, const std::string& caller, const QByteArray& clusterKey);

// Checks and reads a key. PermissionDenied: altered, forged, of another caller, or made under
// another cluster key; these can not be told apart.
absl::StatusOr<BoundKey> parseBoundKey(const QByteArray& text, const std::string& caller, const QByteArray& clusterKey);

} // namespace hemlockweir
