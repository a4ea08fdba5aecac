#pragma once

#include "wire/Messages.h"

// Conditional writes of claims that one node makes in the platform for others of its failure
// domain, over TCP (PeerExchange.h).

namespace hemlockweir {

inline constexpr uint32_t maxBatchWrites = 64;
inline constexpr uint32_t maxClaimKeyLength = 128;
inline constexpr uint32_t maxClaimValueBytes = 16 * 1024; // larger values are written directly
inline constexpr uint32_t maxBatchBytes = 64 * 1024; // values of one message together

// One write, as in KvWrite.
struct ClaimWrite {
    std::string key;
    std::string value;
    int64_t expectedModRevision = 0;
    int64_t lease = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(bounded(key, maxClaimKeyLength), bounded(value, maxClaimValueBytes), expectedModRevision, lease);
    }
    auto operator<=>(const ClaimWrite&) const = default;
};

// Asks for writes.
struct ClaimBatch {
    static constexpr MessageKind kind = MessageKind::ClaimBatch;
    uint64_t id = 0; // random, to know the answer by
    std::vector<ClaimWrite> writes;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, bounded(writes, maxBatchWrites));
    }
    auto operator<=>(const ClaimBatch&) const = default;
};

// How one write ended; `known` is false when the platform did not say, or what stood in the way is
// too large for this message.
struct ClaimWriteResult {
    bool known = false;
    bool applied = false;
    int64_t revision = 0;
    std::string value; // what stood in the way, if not applied
    int64_t createRevision = 0;
    int64_t modRevision = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(known, applied, revision, bounded(value, maxClaimValueBytes), createRevision, modRevision);
    }
    auto operator<=>(const ClaimWriteResult&) const = default;
};

// The results of a batch, one each, in order.
struct ClaimBatchAnswer {
    static constexpr MessageKind kind = MessageKind::ClaimBatchAnswer;
    uint64_t id = 0; // as asked
    std::vector<ClaimWriteResult> results;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, bounded(results, maxBatchWrites));
    }
    auto operator<=>(const ClaimBatchAnswer&) const = default;
};

} // namespace hemlockweir
