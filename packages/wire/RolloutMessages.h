#pragma once

#include "wire/Messages.h"

// Messages that transfer a configuration between nodes over TCP.

namespace hemlockweir {

inline constexpr uint32_t maxPackedDocumentBytes = 1024 * 1024; // compressed
inline constexpr qsizetype maxDocumentBytes = 1024 * 1024; // as JSON

// Requests the configuration if it is newer than the one that the sender has.
struct ConfigRequest {
    static constexpr MessageKind kind = MessageKind::ConfigRequest;
    int64_t knownRevision = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(knownRevision);
    }
    auto operator<=>(const ConfigRequest&) const = default;
};

// A configuration with its revision. `packed` is empty if the peer has nothing newer.
struct ConfigDocument {
    static constexpr MessageKind kind = MessageKind::ConfigDocument;
    int64_t revision = 0;
    std::string packed; // the JSON document, compressed by packDocument()

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(revision, bounded(packed, maxPackedDocumentBytes));
    }
    auto operator<=>(const ConfigDocument&) const = default;
};

} // namespace hemlockweir
