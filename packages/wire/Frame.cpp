#include "wire/Frame.h"

#include <QtEndian>

namespace hemlockweir {

static constexpr qsizetype lengthBytes = 4;

QByteArray makeFrame(const QByteArray& envelope)
{
    QByteArray frame(lengthBytes, Qt::Uninitialized);
    qToBigEndian(static_cast<quint32>(envelope.size()), frame.data());
    return frame + envelope;
}

absl::StatusOr<std::optional<QByteArray>> extractFrame(QByteArray& received, qsizetype limit)
{
    if (received.size() < lengthBytes)
        return std::optional<QByteArray>();
    const qsizetype size = qFromBigEndian<quint32>(received.constData());
    if (size > limit)
        return absl::InvalidArgumentError("the frame exceeds the maximum length");
    if (received.size() < lengthBytes + size)
        return std::optional<QByteArray>();
    QByteArray envelope = received.mid(lengthBytes, size);
    received.remove(0, lengthBytes + size);
    return std::optional<QByteArray>(std::move(envelope));
}

} // namespace hemlockweir
