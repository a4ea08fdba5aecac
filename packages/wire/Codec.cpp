#include "wire/Codec.h"

#include <QMessageAuthenticationCode>

namespace hemlockweir {

static constexpr char magic[] = { 'H', 'W' };
static constexpr qsizetype headerBytes = 4;
static constexpr qsizetype tagBytes = 16;

QByteArray makeTag(const QByteArray& bytes, const QByteArray& clusterKey)
{
    return QMessageAuthenticationCode::hash(bytes, clusterKey, QCryptographicHash::Sha256).left(tagBytes);
}

bool equalsInConstantTime(const QByteArray& a, const QByteArray& b)
{
    if (a.size() != b.size())
        return false;
    int difference = 0;
    for (qsizetype i = 0; i < a.size(); ++i)
        difference |= a[i] ^ b[i];
    return difference == 0;
}

QByteArray sealEnvelope(const Envelope& envelope, const QByteArray& clusterKey)
{
    QByteArray bytes(magic, sizeof(magic));
    bytes += static_cast<char>(wireVersion);
    bytes += static_cast<char>(envelope.kind);
    const QByteArray sender = encodeBody(envelope.sender);
    bytes += static_cast<char>(sender.size() >> 8);
    bytes += static_cast<char>(sender.size() & 0xff);
    bytes += sender;
    bytes += envelope.body;
    return bytes + makeTag(bytes, clusterKey);
}

absl::StatusOr<Envelope> openEnvelope(const QByteArray& bytes, const QByteArray& clusterKey)
{
    constexpr qsizetype senderLengthBytes = 2;
    constexpr qsizetype minBytes = headerBytes + senderLengthBytes + tagBytes;
    if (bytes.size() < minBytes || !bytes.startsWith(QByteArray(magic, sizeof(magic))))
        return absl::InvalidArgumentError("not a hemlockweir message");
    if (static_cast<uint8_t>(bytes[2]) != wireVersion)
        return absl::InvalidArgumentError("unsupported wire version " + std::to_string(static_cast<uint8_t>(bytes[2])));
    const QByteArray authenticatedBytes = bytes.left(bytes.size() - tagBytes);
    if (!equalsInConstantTime(makeTag(authenticatedBytes, clusterKey), bytes.right(tagBytes)))
        return absl::PermissionDeniedError("the authentication tag does not match; check that cluster_key is the same on every node");
    const qsizetype senderBytes = (static_cast<uint8_t>(bytes[4]) << 8) | static_cast<uint8_t>(bytes[5]);
    const qsizetype bodyOffset = headerBytes + senderLengthBytes + senderBytes;
    if (bodyOffset > authenticatedBytes.size())
        return absl::InvalidArgumentError("the message is truncated");
    absl::StatusOr<Sender> sender = decodeBody<Sender>(authenticatedBytes.mid(headerBytes + senderLengthBytes, senderBytes));
    if (!sender.ok())
        return sender.status();
    return Envelope { .kind = static_cast<MessageKind>(bytes[3]), .sender = *sender, .body = authenticatedBytes.mid(bodyOffset) };
}

} // namespace hemlockweir
