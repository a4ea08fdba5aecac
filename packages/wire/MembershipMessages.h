#pragma once

#include "wire/Messages.h"

// Messages by which nodes exchange membership information.

namespace hemlockweir {

inline constexpr uint32_t maxRecordsPerDigest = 16;
inline constexpr uint32_t maxBeatsPerDigest = 160;

// State of one start (incarnation) of a node.
struct NodeRecord {
    std::string node;
    uint64_t incarnation = 0;
    uint32_t beat = 0; // heartbeat counter; the node increments it at every tick
    Heartbeat heartbeat;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(bounded(node, maxNameLength), incarnation, beat, heartbeat);
    }
    auto operator<=>(const NodeRecord&) const = default;
};

// The latest heartbeat counter of one start of a node, without its record.
struct BeatRow {
    uint64_t id = 0; // hash of the node's name and incarnation
    uint32_t beat = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, beat);
    }
    auto operator<=>(const BeatRow&) const = default;
};

// The sender's view of the membership: its own record first, then full records of some other nodes,
// and heartbeat counters of the rest.
struct Digest {
    static constexpr MessageKind kind = MessageKind::Digest;
    std::vector<NodeRecord> records;
    std::vector<BeatRow> beats;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(bounded(records, maxRecordsPerDigest), bounded(beats, maxBeatsPerDigest));
    }
    auto operator<=>(const Digest&) const = default;
};

// Requests the records for heartbeat counters whose id the sender does not know.
struct RecordsRequest {
    static constexpr MessageKind kind = MessageKind::RecordsRequest;
    std::vector<uint64_t> ids;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(bounded(ids, maxRecordsPerDigest));
    }
    auto operator<=>(const RecordsRequest&) const = default;
};

// Asks a node to prove that it is running now; a replayed datagram cannot answer.
struct Challenge {
    static constexpr MessageKind kind = MessageKind::Challenge;
    uint64_t nonce = 0;
    std::string replyTo; // ADDRESS:PORT

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(nonce, bounded(replyTo, maxEndpointLength));
    }
    auto operator<=>(const Challenge&) const = default;
};

// Answers a Challenge.
struct ChallengeAnswer {
    static constexpr MessageKind kind = MessageKind::ChallengeAnswer;
    uint64_t nonce = 0; // copied from the challenge

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(nonce);
    }
    auto operator<=>(const ChallengeAnswer&) const = default;
};

// A message of another node, forwarded by a relay that verified that it is new. The receiver needs
// to know the relay but not the original sender.
struct Relayed {
    static constexpr MessageKind kind = MessageKind::Relayed;
    static constexpr uint32_t maxBytes = 8192;
    std::string envelope; // as sealed by the original sender

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(bounded(envelope, maxBytes));
    }
    auto operator<=>(const Relayed&) const = default;
};

} // namespace hemlockweir
