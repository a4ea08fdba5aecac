#pragma once

#include <QByteArray>
#include <absl/status/statusor.h>
#include <optional>

// Frames that carry envelopes over TCP: length (4 bytes, big-endian) | sealed envelope.

namespace hemlockweir {

// Prepends the length to a sealed envelope.
QByteArray makeFrame(const QByteArray& envelope);

// Removes the first complete frame from `received` and returns its envelope, or nullopt if the frame
// is still incomplete. Returns InvalidArgument if the length exceeds `limit` bytes; the connection
// must then be closed.
absl::StatusOr<std::optional<QByteArray>> extractFrame(QByteArray& received, qsizetype limit);

} // namespace hemlockweir
