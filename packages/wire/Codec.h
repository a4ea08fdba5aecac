#pragma once

#include "wire/Messages.h"

#include <QByteArray>
#include <absl/status/statusor.h>
#include <cereal/archives/portable_binary.hpp>
#include <sstream>

// Envelopes round the messages between nodes:
//
//   magic (2) | version (1) | kind (1) | sender name, incarnation, sequence | body | tag (16)
//
// The tag is an HMAC-SHA-256 under the cluster key, cut to 16 bytes, over all before it.

namespace hemlockweir {

inline constexpr uint8_t wireVersion = 1;
inline constexpr qsizetype maxDatagramBytes = 8192; // loopback and jumbo frames; larger is dropped
inline constexpr qsizetype targetDatagramBytes = 1200; // what senders aim at

// Who sent a message. Receivers drop an older incarnation or sequence of the same sender.
struct Sender {
    std::string node;
    uint64_t incarnation = 0; // grows with each start of the node
    uint64_t sequence = 0; // grows with each message

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(bounded(node, maxNameLength), incarnation, sequence);
    }
    auto operator<=>(const Sender&) const = default;
};

// An authenticated envelope whose body is not decoded yet.
struct Envelope {
    MessageKind kind = MessageKind::Heartbeat;
    Sender sender;
    QByteArray body;
};

// Returns the tag of bytes under a key: HMAC-SHA-256, cut to 16 bytes.
QByteArray makeTag(const QByteArray& bytes, const QByteArray& clusterKey);

// Compares without telling by its time where the first difference is.
bool equalsInConstantTime(const QByteArray& a, const QByteArray& b);

// Wraps an encoded body.
QByteArray sealEnvelope(const Envelope& envelope, const QByteArray& clusterKey);

// Checks and unwraps bytes from the network. InvalidArgument: malformed, or another version;
// PermissionDenied: the tag is wrong.
absl::StatusOr<Envelope> openEnvelope(const QByteArray& bytes, const QByteArray& clusterKey);

// Encodes a message into the bytes of a body.
template <typename Message>
QByteArray encodeBody(const Message& message)
{
    std::ostringstream stream(std::ios::binary);
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(message);
    return QByteArray::fromStdString(stream.str());
}

// Decodes the body of an envelope; InvalidArgument when it is cut short, over long or left over.
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
        return absl::InvalidArgumentError("bytes are left over after the message");
    return message;
}

// Encodes and wraps a message.
template <typename Message>
QByteArray sealMessage(const Message& message, const Sender& sender, const QByteArray& clusterKey)
{
    return sealEnvelope({ .kind = Message::kind, .sender = sender, .body = encodeBody(message) }, clusterKey);
}

} // namespace hemlockweir
