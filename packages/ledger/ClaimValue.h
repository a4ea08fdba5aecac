#pragma once

#include <QByteArray>
#include <optional>
#include <string>

// The stored form of a claim in the platform: JSON, so that operators can read it.

namespace hemlockweir {

// Key prefix of all claims in the platform.
inline constexpr char claimPrefix[] = "/hemlockweir/claims/";

// Identifies the request that a claim is made for.
struct ClaimRequest {
    std::string caller;
    QByteArray idempotencyKey; // as the caller sent it
    QByteArray requestHash; // SHA-256 of the request to run
};

// The answer stored with a finished claim.
struct StoredAnswer {
    int status = 0; // HTTP status
    QByteArray contentType;
    QByteArray body;

    bool operator==(const StoredAnswer&) const = default;
};

enum class ClaimState {
    Claimed, // it may be running, or its outcome is unknown
    Done, // it ran
};

struct ClaimValue {
    QByteArray token; // identifies the attempt that made the claim
    std::string owner; // node and incarnation; informs operators only
    QByteArray requestHash;
    ClaimState state = ClaimState::Claimed;
    std::optional<StoredAnswer> answer; // empty: not done, or too large to store
};

// Returns the key of a claim in the platform.
QByteArray claimKey(const ClaimRequest& request);

// Serialize and parse a claim. Malformed input yields a claim with an empty token, which matches no
// attempt.
QByteArray formatClaim(const ClaimValue& claim);
ClaimValue parseClaim(const QByteArray& json);

} // namespace hemlockweir
