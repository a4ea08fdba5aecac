#pragma once

#include "wire/Messages.h"

// The messages that tell nodes of each other.

namespace hemlockweir {

inline constexpr uint32_t maxRecordsPerDigest = 16;
inline constexpr uint32_t maxBeatsPerDigest = 160;

// All that is known of one start of a node.
struct NodeRecord {
    std::string node;
    uint64_t incarnation = 0;
    uint32_t beat = 0; // raised by the node itself at every tick
    Heartbeat heartbeat;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(bounded(node, maxNameLength), incarnation, beat, heartbeat);
    }
    auto operator<=>(const NodeRecord&) const = default;
};

// The newest beat of one start of a node, without its record.
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

// What the sender knows of the nodes: its own record first, some others whole, of the rest the beat.
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

// Asks for the records behind beats that the sender can not place.
struct Wanted {
    static constexpr MessageKind kind = MessageKind::Wanted;
    std::vector<uint64_t> ids;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(bounded(ids, maxRecordsPerDigest));
    }
    auto operator<=>(const Wanted&) const = default;
};

// Asks a node to show that it runs now: a replayed datagram can not answer.
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

struct ChallengeAnswer {
    static constexpr MessageKind kind = MessageKind::ChallengeAnswer;
    uint64_t nonce = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(nonce);
    }
    auto operator<=>(const ChallengeAnswer&) const = default;
};

// A message of another node, passed on by a relay that found it to be new. Whoever knows the relay
// need not know the message's sender.
struct Relayed {
    static constexpr MessageKind kind = MessageKind::Relayed;
    static constexpr uint32_t maxBytes = 8192;
    std::string envelope; // as its sender sealed it

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(bounded(envelope, maxBytes));
    }
    auto operator<=>(const Relayed&) const = default;
};

} // namespace hemlockweir
