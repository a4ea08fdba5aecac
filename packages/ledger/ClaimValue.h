#pragma once

#include <QByteArray>
#include <optional>
#include <string>

// A claim as it stands in the platform: JSON, which operators can read.

namespace hemlockweir {

// Claims live under this prefix.
inline constexpr char claimPrefix[] = "/hemlockweir/claims/";

// What a claim is made for.
struct ClaimRequest {
    std::string caller;
    QByteArray idempotencyKey; // as the caller sent it
    QByteArray requestHash; // SHA-256 of what would run
};

// The answer kept with a finished claim.
struct StoredAnswer {
    int status = 0; // HTTP status
    QByteArray contentType;
    QByteArray body;

    bool operator==(const StoredAnswer&) const = default;
};

enum class ClaimState {
    Claimed, // it may run, or its outcome is unknown
    Done, // it ran
};

struct ClaimValue {
    QByteArray token; // of the attempt that made the claim
    std::string owner; // node and incarnation, for operators
    QByteArray requestHash;
    ClaimState state = ClaimState::Claimed;
    std::optional<StoredAnswer> answer; // none: not done, or too large to keep
};

// The platform's key of a claim.
QByteArray claimKey(const ClaimRequest& request);

// Writes and reads a claim. What can not be read belongs to no attempt.
QByteArray formatClaim(const ClaimValue& claim);
ClaimValue parseClaim(const QByteArray& json);

} // namespace hemlockweir
