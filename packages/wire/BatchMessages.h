#pragma once

#include "wire/Messages.h"

// Conditional claim writes that one node performs in the platform for other nodes of its failure
// domain, over TCP (PeerExchange.h).

namespace hemlockweir {

inline constexpr uint32_t maxBatchWrites = 64;
inline constexpr uint32_t maxClaimKeyLength = 128;
inline constexpr uint32_t maxClaimValueBytes = 16 * 1024; // larger values are written to the platform directly
inline constexpr uint32_t maxBatchBytes = 64 * 1024; // total size of the values in one message

// One write; the fields match KvWrite.
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

// Requests writes.
struct ClaimBatch {
    static constexpr MessageKind kind = MessageKind::ClaimBatch;
    uint64_t id = 0; // random; matches the answer to the request
    std::vector<ClaimWrite> writes;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, bounded(writes, maxBatchWrites));
    }
    auto operator<=>(const ClaimBatch&) const = default;
};

// Result of one write. `known` is false if the platform did not report the result, or if the stored
// value is too large for this message.
struct ClaimWriteResult {
    bool known = false;
    bool applied = false;
    int64_t revision = 0;
    std::string value; // the stored value, if not applied
    int64_t createRevision = 0;
    int64_t modRevision = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(known, applied, revision, bounded(value, maxClaimValueBytes), createRevision, modRevision);
    }
    auto operator<=>(const ClaimWriteResult&) const = default;
};

// Results of a batch, one per write, in order.
struct ClaimBatchAnswer {
    static constexpr MessageKind kind = MessageKind::ClaimBatchAnswer;
    uint64_t id = 0; // copied from the request
    std::vector<ClaimWriteResult> results;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, bounded(results, maxBatchWrites));
    }
    auto operator<=>(const ClaimBatchAnswer&) const = default;
};

} // namespace hemlockweir
