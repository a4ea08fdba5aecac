#pragma once

#include "wire/Messages.h"

// The messages by which a node claims a key bound to another node, over TCP (PeerExchange.h).

namespace hemlockweir {

inline constexpr uint32_t maxBoundKeyLength = 255;
inline constexpr uint32_t maxAttemptLength = 32;
inline constexpr uint32_t maxRequestHashLength = 32;
inline constexpr uint32_t maxContentTypeLength = 255;
inline constexpr uint32_t maxStoredAnswerBytes = 64 * 1024; // larger answers are not kept

// How a home node judges a claim.
enum class HomeVerdict : uint8_t {
    Granted = 0, // this attempt may run it; no other may
    Finished = 1, // it ran; the answer is given
    NotStored = 2, // it ran; its answer was too large to keep, or made room for others
    Running = 3, // another attempt holds the key
    Mismatch = 4, // the key was used for another request
    Refused = 5, // nothing ran under the key, and nothing ever will
    Lost = 6, // bound to another start of this node, or too old: nobody knows
    Settled = 7, // the outcome is taken
};

// Asks for the right to run a request. Sent again after a lost answer, it gets the same one.
struct HomeClaim {
    static constexpr MessageKind kind = MessageKind::HomeClaim;
    std::string key; // as the caller sent it
    std::string caller;
    std::string attempt; // random; names who asks
    std::string requestHash; // SHA-256 of what would run

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(bounded(key, maxBoundKeyLength), bounded(caller, maxNameLength), bounded(attempt, maxAttemptLength), bounded(requestHash, maxRequestHashLength));
    }
    auto operator<=>(const HomeClaim&) const = default;
};

// An answer as it is kept.
struct WireAnswer {
    bool isStored = false; // false: only that it ran
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

// Tells the outcome of a granted attempt, or gives up one whose grant was not heard of.
struct HomeSettle {
    static constexpr MessageKind kind = MessageKind::HomeSettle;
    std::string key;
    std::string caller;
    std::string attempt;
    bool ran = false; // false: this attempt certainly did not run and never will
    WireAnswer answer; // meaningful if it ran

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(bounded(key, maxBoundKeyLength), bounded(caller, maxNameLength), bounded(attempt, maxAttemptLength), ran, answer);
    }
    auto operator<=>(const HomeSettle&) const = default;
};

// Answers both.
struct HomeAnswer {
    static constexpr MessageKind kind = MessageKind::HomeAnswer;
    std::string attempt; // as asked
    HomeVerdict verdict = HomeVerdict::Lost;
    WireAnswer answer; // meaningful when Finished

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(bounded(attempt, maxAttemptLength), verdict, answer);
    }
    auto operator<=>(const HomeAnswer&) const = default;
};

} // namespace hemlockweir
