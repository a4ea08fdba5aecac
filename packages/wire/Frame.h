#pragma once

#include <QByteArray>
#include <absl/status/statusor.h>
#include <optional>

// Frames of messages over TCP: length (4 bytes, big-endian) | sealed envelope.

namespace hemlockweir {

// Puts the length before a sealed envelope.
QByteArray makeFrame(const QByteArray& envelope);

// Takes one whole envelope from the front of what was received; none while it is not whole.
// InvalidArgument: the frame claims more than `limit` bytes, and the connection is useless.
absl::StatusOr<std::optional<QByteArray>> extractFrame(QByteArray& received, qsizetype limit);

} // namespace hemlockweir
