#pragma once

#include "wire/Messages.h"

// Messages by which a node claims a key bound to another node, over TCP (PeerExchange.h).

namespace hemlockweir {

inline constexpr uint32_t maxBoundKeyLength = 255;
inline constexpr uint32_t maxAttemptLength = 32;
inline constexpr uint32_t maxRequestHashLength = 32;
inline constexpr uint32_t maxContentTypeLength = 255;
inline constexpr uint32_t maxStoredAnswerBytes = 64 * 1024; // larger answers are not stored

// The home node's decision on a claim or an outcome.
enum class HomeVerdict : uint8_t {
    Granted = 0, // this attempt may run it; no other attempt may
    Finished = 1, // it ran; the message holds its answer
    NotStored = 2, // it ran; its answer was too large to store, or was evicted
    Running = 3, // another attempt holds the key
    Mismatch = 4, // the key was used for another request
    Refused = 5, // nothing ran under the key, and nothing ever will
    Lost = 6, // bound to another start of this node, or expired: the outcome is unknown
    OutcomeRecorded = 7, // the home node has recorded the reported outcome
};

// Requests the right to run a request. If sent again after a lost answer, it receives the same
// decision.
struct HomeClaim {
    static constexpr MessageKind kind = MessageKind::HomeClaim;
    std::string key; // as the caller sent it
    std::string caller;
    std::string attempt; // random identifier of the attempt
    std::string requestHash; // SHA-256 of the request to run

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(bounded(key, maxBoundKeyLength), bounded(caller, maxNameLength), bounded(attempt, maxAttemptLength), bounded(requestHash, maxRequestHashLength));
    }
    auto operator<=>(const HomeClaim&) const = default;
};

// A stored answer, in the form that is sent between nodes.
struct WireAnswer {
    bool isStored = false; // false: only the fact that the request ran is known
    int32_t status = 0; // HTTP status
    std::string contentType;
    std::string body;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(isStored, status, bounded(contentType, maxContentTypeLength), bounded(body, maxStoredAnswerBytes));
    }
    auto operator<=>(const WireAnswer&) const = default;
};

// Reports the outcome of a granted attempt, or cancels an attempt whose grant was not received.
struct HomeOutcome {
    static constexpr MessageKind kind = MessageKind::HomeOutcome;
    std::string key;
    std::string caller;
    std::string attempt;
    bool ran = false; // false: this attempt certainly did not run and never will
    WireAnswer answer; // valid if `ran`

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(bounded(key, maxBoundKeyLength), bounded(caller, maxNameLength), bounded(attempt, maxAttemptLength), ran, answer);
    }
    auto operator<=>(const HomeOutcome&) const = default;
};

// Answers HomeClaim and HomeOutcome.
struct HomeAnswer {
    static constexpr MessageKind kind = MessageKind::HomeAnswer;
    std::string attempt; // copied from the request
    HomeVerdict verdict = HomeVerdict::Lost;
    WireAnswer answer; // valid when Finished

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(bounded(attempt, maxAttemptLength), verdict, answer);
    }
    auto operator<=>(const HomeAnswer&) const = default;
};

} // namespace hemlockweir
