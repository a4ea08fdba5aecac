#pragma once

#include "base/Clock.h"

#include <QByteArray>
#include <absl/status/statusor.h>
#include <string>

// Idempotency keys that a node issues and that are bound to it. They work without the platform,
// because the node's ledger in memory decides (HomeLedger.h).
//
//   hemlockweir-1.BODY.TAG
//
// BODY holds the endpoint of the home node, the start of it that issued the key, and the time of
// issue. TAG is an HMAC-SHA-256 under the cluster key over the body and the caller's name,
// truncated to 16 bytes. So only nodes can issue such keys, and each key serves one caller. Both
// parts are base64url.

namespace hemlockweir {

struct BoundKey {
    std::string home; // ADDRESS:PORT at which peers reach the home node
    uint64_t start = 0; // random identifier of the start of the home node
    int64_t issuedAtMs = 0; // ms by the home node's clock
    uint64_t nonce = 0; // random

    template <class Archive>
    void serialize(Archive& archive);
    auto operator<=>(const BoundKey&) const = default;
};

// Returns whether a key has the prefix of a bound key. Keys chosen by callers must not have it.
bool hasBoundKeyPrefix(const QByteArray& text);

QByteArray formatBoundKey(const BoundKey& key, const std::string& caller, const QByteArray& clusterKey);

// Verifies and decodes a key. PermissionDenied: the key is altered, forged, issued to another
// caller, or made under another cluster key; these cases cannot be told apart.
absl::StatusOr<BoundKey> parseBoundKey(const QByteArray& text, const std::string& caller, const QByteArray& clusterKey);

} // namespace hemlockweir
