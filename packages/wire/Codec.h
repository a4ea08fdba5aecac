#pragma once

#include "wire/Messages.h"

#include <QByteArray>
#include <absl/status/statusor.h>
#include <cereal/archives/portable_binary.hpp>
#include <sstream>

// Encodes messages between nodes and wraps them in authenticated envelopes:
//
//   magic (2) | version (1) | kind (1) | sender size (2) | sender | body | tag (16)
//
// Numbers in parentheses are sizes in bytes. The tag is the HMAC-SHA-256 of everything before it under
// the cluster key, truncated to 16 bytes.

namespace hemlockweir {

inline constexpr uint8_t wireVersion = 1;
inline constexpr qsizetype maxDatagramBytes = 8192; // fits loopback and jumbo frames; larger datagrams are dropped
inline constexpr qsizetype targetDatagramBytes = 1200; // size that senders aim for

// Identifies the sender of a message. Receivers drop a datagram if another incarnation has replaced its
// incarnation, or if its sequence number was seen before or is too old (membership/SenderCheck.h).
struct Sender {
    std::string node;
    uint64_t incarnation = 0; // differs at each start of the node
    uint64_t sequence = 0; // increases with each message

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(bounded(node, maxNameLength), incarnation, sequence);
    }
    auto operator<=>(const Sender&) const = default;
};

// The contents of an envelope; the body is still encoded.
struct Envelope {
    MessageKind kind = MessageKind::Heartbeat;
    Sender sender;
    QByteArray body;
};

// Returns the HMAC-SHA-256 of `bytes` under `clusterKey`, truncated to 16 bytes.
QByteArray makeTag(const QByteArray& bytes, const QByteArray& clusterKey);

// Compares in constant time, so that timing does not reveal the position of the first difference.
// Returns early only if the sizes differ.
bool equalsInConstantTime(const QByteArray& a, const QByteArray& b);

// Returns the envelope as bytes with its tag.
QByteArray sealEnvelope(const Envelope& envelope, const QByteArray& clusterKey);

// Verifies and parses an envelope received from the network. Returns InvalidArgument if it is
// malformed or of another version, and PermissionDenied if the tag does not match.
absl::StatusOr<Envelope> openEnvelope(const QByteArray& bytes, const QByteArray& clusterKey);

// Encodes a message as a body. Throws std::length_error if a field exceeds its limit.
template <typename Message>
QByteArray encodeBody(const Message& message)
{
    std::ostringstream stream(std::ios::binary);
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(message);
    return QByteArray::fromStdString(stream.str());
}

// Decodes the body of an envelope. Returns InvalidArgument if the body is truncated, a field exceeds
// its limit, or bytes follow the message.
template <typename Message>
absl::StatusOr<Message> decodeBody(const QByteArray& body)
{
    std::istringstream stream(body.toStdString(), std::ios::binary);
    Message message;
    try {
        cereal::PortableBinaryInputArchive archive(stream);
        archive(message);
    } catch (const std::exception& error) {
        return absl::InvalidArgumentError(error.what());
    }
    if (stream.peek() != std::istringstream::traits_type::eof())
        return absl::InvalidArgumentError("unexpected bytes after the end of the message");
    return message;
}

// Encodes a message and returns its envelope as bytes.
template <typename Message>
QByteArray sealMessage(const Message& message, const Sender& sender, const QByteArray& clusterKey)
{
    return sealEnvelope({ .kind = Message::kind, .sender = sender, .body = encodeBody(message) }, clusterKey);
}

} // namespace hemlockweir
